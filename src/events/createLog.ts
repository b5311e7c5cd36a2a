import { ROARR, Roarr } from 'roarr';
import events from './events';
import type Log from './Log';

const LEVELS = { debug: 20, info: 30, warn: 40, error: 50 } as const;

/**
 * Creates a log that writes each event as one JSON line in roarr's format. Events below `level` are
 * discarded.
 */
export default function createLog(
  level: keyof typeof LEVELS,
  context: Record<string, string>,
  write: (line: string) => void,
): Log {
  ROARR.write = (line) => write(`${line}\n`);
  return (name, fields = {}) => {
    const event = events[name];
    if (LEVELS[event.level] < LEVELS[level]) {
      return;
    }
    const details = { ...context, ...fields, event: event.number, name } as never;
    Roarr[event.level](details, '%s', event.text);
  };
}
