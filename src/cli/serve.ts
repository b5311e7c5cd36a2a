import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { createServer as createHttpServer } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import createHeldBytes from '../clientLimits/createHeldBytes';
import createLimitLog from '../clientLimits/createLimitLog';
import createMemoryWatch from '../clientLimits/createMemoryWatch';
import createReadTurns from '../clientLimits/createReadTurns';
import createServerGuard from '../clientLimits/createServerGuard';
import getClientLimits from '../clientLimits/getClientLimits';
import getCollector from '../clientLimits/getCollector';
import createEntry from '../entry/createEntry';
import createLog from '../events/createLog';
import createMesh from '../mesh/createMesh';
import createEtcdKeyValue from '../keyValue/createEtcdKeyValue';
import createVirtualMachineList from '../vmList/createVirtualMachineList';
import type Settings from '../settings/Settings';
import createHttpEngineClient from '../upstream/createHttpEngineClient';
import createHttpServiceClient from '../upstream/createHttpServiceClient';

/** Timeout of a call to the key-value service or the VM list. */
const CALL_TIMEOUT_MS = 1500;
const HEADERS_TIMEOUT_MS = 10_000;

/**
 * Runs an entry VM until SIGTERM or SIGINT stops it gracefully; a second signal stops it at once.
 * Returns the exit code: 1 if requests were aborted.
 */
export default async function serve(settings: Settings): Promise<number> {
  const address = `${settings.listenHost}:${settings.meshPort}`;
  const callerAddress = `${settings.listenHost}:${settings.port}`;
  const write = (line: string) => process.stdout.write(line);
  const log = createLog(settings.logLevel, { vm: address }, write);
  process.on('uncaughtException', (error) => log('unexpected', { error: error.stack }));
  process.on('unhandledRejection', (error) => log('unexpected', { error: String(error) }));

  const clock = {
    now: () => performance.now(),
    setTimer: (delayMs: number, callback: () => void) => {
      const timer = setTimeout(callback, delayMs);
      return () => clearTimeout(timer);
    },
  };
  const limits = getClientLimits(settings);
  const held = createHeldBytes({ limitBytes: limits.heldBytes });
  const mesh = createMesh(
    {
      onMessage: (from, message) => entry.receive(from, message),
      onSent: (kind, bytes) => entry.metrics.meshBytes.inc({ kind }, bytes),
      onUnreadable: (from, kind) => {
        entry.metrics.unreadableMessages.inc({ kind });
        log('messageUnreadable', { from, kind });
      },
      onLinkEnd: (peer, reason) => {
        entry.metrics.linkEnds.inc({ reason });
        log('linkEnded', { peer, reason });
      },
    },
    {
      address,
      clusterKey: settings.clusterKey,
      listenHost: settings.listenHost,
      listenPort: settings.meshPort,
      maxHandshakes: limits.meshHandshakes,
      maxQueuedBytes: limits.heldBytes,
    },
  );
  const entry = createEntry(
    {
      ...clock,
      bodyAccount: { held, turns: createReadTurns(clock) },
      keyValue: createEtcdKeyValue({
        url: settings.platformUrl,
        callTimeoutMs: CALL_TIMEOUT_MS,
        countCall: (call) => entry.metrics.keyValueCalls.inc({ call }),
      }),
      tryGetVmList: createVirtualMachineList(settings.vmListUrl, CALL_TIMEOUT_MS),
      engines: createHttpEngineClient(),
      services: createHttpServiceClient(),
      send: mesh.send,
      redial: mesh.redial,
      setPeers: mesh.setPeers,
      random: Math.random,
      getTimeOfDay: Date.now,
      createNonce: randomUUID,
      log,
    },
    {
      ...settings,
      address,
      callerAddress,
      rootToken: settings.operatorToken,
      pool: settings,
      deadlinesMs: {
        interactive: settings.interactiveDeadlineMs,
        deferrable: settings.deferrableDeadlineMs,
      },
    },
  );

  const recordLimit = createLimitLog({ ...clock, ...entry, ...held, log });
  const guard = createServerGuard(
    { ...clock, held, onLimited: (reason) => recordLimit(reason, 'callers') },
    { maxConnections: limits.callerConnections },
    getRequestListener((request, bindings) =>
      entry.fetch(request, { incoming: (bindings as HttpBindings).incoming }),
    ),
  );
  const { listener } = guard;
  const server =
    settings.tlsCert !== undefined && settings.tlsKey !== undefined
      ? createHttpsServer(
          { cert: readFileSync(settings.tlsCert), key: readFileSync(settings.tlsKey) },
          listener,
        )
      : createHttpServer(listener);
  guard.attach(server);
  if (settings.ramMb !== undefined) {
    createMemoryWatch(
      {
        ...clock,
        ...held,
        getResidentBytes: process.memoryUsage.rss,
        getBufferBytes: () => process.memoryUsage().arrayBuffers,
        collect: getCollector(),
      },
      { ramMb: settings.ramMb },
    ).run();
  }
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  await mesh.listen();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(settings.port, settings.listenHost, () => resolve());
  });
  entry.start();
  log('started', { callers: callerAddress, dataCentre: settings.dataCentre });

  return new Promise((resolve) => {
    let isStopping = false;
    const stop = async () => {
      if (isStopping) {
        log('stopCut', { requests: entry.getInFlight(), cause: 'second signal' });
        resolve(1);
        return;
      }
      isStopping = true;
      log('stopRequested', { requests: entry.getInFlight() });
      const abortedCount = await entry.stop();
      if (abortedCount > 0) {
        log('stopCut', { requests: abortedCount, cause: 'stop deadline' });
      }
      log('stopped');
      mesh.close();
      server.close();
      server.closeIdleConnections();
      resolve(abortedCount > 0 ? 1 : 0);
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });
}
