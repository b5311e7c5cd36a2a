import path from 'node:path';
import createRecord from './createRecord.mjs';

/**
 * Plays a case, writes its record beside `url` and ends the process: with 1 if the rule was broken, 0 if
 * it held, and 2 if the case could not run. `play` resolves with the number of breaches and of requests
 * that were answered.
 */
export default async function playCase(url, rule, play) {
  const record = createRecord(path.join(path.dirname(new URL(url).pathname), 'record.txt'));
  let code = 2;
  let text;
  try {
    const { breaches, answered } = await play(record, process.env.TROUBLE !== '0');
    text = answered === 0 ? 'no request was answered' : `${rule} was broken ${breaches} times`;
    if (answered > 0) {
      code = breaches > 0 ? 1 : 0;
    }
  } catch (error) {
    text = `could not run: ${error.stack}`;
  }
  record.note(text);
  await record.write();
  process.stdout.write(`${text}\n`);
  // eslint-disable-next-line n/no-process-exit -- open channels must not delay the end
  process.exit(code);
}
