import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Returns V8's garbage collector; a process is not started with the flag that exposes it. */
export default function getCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
