/** Generates docs/EVENTS.md from the catalogues of events and refusals; `--stdout` prints it. */
import { writeFileSync } from 'node:fs';
import events from '../src/events/events';
import refusals from '../src/messages/refusals';

const eventRows = Object.entries(events).map(
  ([name, { number, level, text }]) => `| ${number} | ${name} | ${level} | ${text} |`,
);
const refusalRows = Object.values(refusals).map(
  ({ number, status, category, code, text }) =>
    `| ${number} | \`${code}\` | ${status} | ${category} | ${text} |`,
);
const page = [
  '# Events and refusals',
  '',
  'Made from the catalogues in `src/events/events.ts` and `src/messages/refusals.ts` by',
  '`npm run events`; CI fails when this page is stale.',
  '',
  '## Events',
  '',
  'One JSON line each, in roarr format; `context.event` is the number.',
  '',
  '| number | name | level | text |',
  '| ---: | --- | --- | --- |',
  ...eventRows,
  '',
  '## Refusals',
  '',
  '`{error: {code, reason, ran, retryAfterMs, detail}}`; counted in `baobablink_refusals_total`.',
  '',
  '| number | code | status | category | reason |',
  '| ---: | --- | ---: | --- | --- |',
  ...refusalRows,
  '',
].join('\n');

if (process.argv.includes('--stdout')) {
  process.stdout.write(page);
} else {
  writeFileSync('docs/EVENTS.md', page);
}
