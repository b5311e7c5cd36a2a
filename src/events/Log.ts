import type events from './events';

/** Logs one event of the catalogue with its fields. */
type Log = (event: keyof typeof events, fields?: Record<string, unknown>) => void;

export default Log;
