import getRedactedSettings from '../../src/settings/getRedactedSettings';
import readSettings from '../../src/settings/readSettings';
import Settings from '../../src/settings/Settings';
import compareBaseline from './compareBaseline';

const REQUIRED_SETTINGS = {
  listenHost: '127.0.0.1',
  dataCentre: 'dc1',
  platformUrl: 'http://127.0.0.1:2379',
  vmListUrl: 'http://127.0.0.1:2379/vms',
  clusterKey: 'a-secret-that-is-long',
};

const cases: [Record<string, unknown>, Record<string, string>][] = [
  [REQUIRED_SETTINGS, {}],
  [{ ...REQUIRED_SETTINGS, port: '99999' }, {}],
  [
    { ...REQUIRED_SETTINGS, port: undefined },
    { BAOBABLINK_PORT: 'x', BAOBABLINK_MESH_PORT: '0' },
  ],
  [{ ...REQUIRED_SETTINGS, clusterKey: 'short', stallWeight: '2', logLevel: 'loud' }, {}],
  [{}, {}],
  [{ ...REQUIRED_SETTINGS, tlsCert: '/some/file' }, {}],
  [
    { ...REQUIRED_SETTINGS, seeds: '10.0.0.1:7080,10.0.0.2:7080' },
    { BAOBABLINK_OPERATOR_TOKEN: 'x'.repeat(16) },
  ],
];

describe('settings', () => {
  it('are parsed, rejected and redacted as in the baseline', () => {
    const lines = cases.flatMap(([flags, environment], index) => {
      const settings = readSettings(Settings, flags, environment);
      return settings.ok
        ? [`case ${index}: ${JSON.stringify(getRedactedSettings(settings.value))}`]
        : [`case ${index}: refused`, ...settings.error.map((message) => `  ${message}`)];
    });
    compareBaseline('settings', lines);
  });
});
