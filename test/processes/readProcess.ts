import { readFileSync, readdirSync } from 'node:fs';

const KB_PER_MB = 1024;

/** Returns the resident memory of a process, now and at most since its start, and its descriptors. */
export default function readProcess(pid: number) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const read = (name: string) =>
    Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1] ?? NaN) / KB_PER_MB;
  return {
    residentMb: read('VmRSS'),
    peakResidentMb: read('VmHWM'),
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}
