import createRequest from './createRequest';
import type createTestFleet from './createTestFleet';

type Fleet = ReturnType<typeof createTestFleet>;

interface StreamResult {
  id: string;
  /** Software versions that wrote its events, in order. */
  versions: string[];
  status: number;
  isComplete: boolean;
}

let requestCount = 0;

/**
 * Sends a stream request by way of a VM; resolves when it has ended or broken off. With `former`,
 * resumes that stream.
 */
export default function sendStream(
  fleet: Fleet,
  vm: string,
  former?: StreamResult,
): Promise<StreamResult> {
  requestCount += 1;
  const request = {
    ...createRequest(0, ''),
    id: `stream-${requestCount}`,
    path: '/talk/1',
    adapter: undefined,
    resumeAfter: former && String(former.versions.length),
    resumedRequest: former?.id,
  };
  const versions = [...(former?.versions ?? [])];
  const id = former?.id ?? request.id;
  return new Promise((resolve) => {
    let status = 0;
    const end = (isComplete: boolean) => {
      unsubscribe();
      resolve({ id, versions, status, isComplete });
    };
    const unsubscribe = fleet.onRestart((killed) => {
      if (killed === vm) {
        end(false);
      }
    });
    fleet.vms.get(vm)!.handle(request, {
      writeHead: (newStatus) => {
        status = newStatus;
      },
      write: (chunk) => {
        versions.push(...[...chunk.toString().matchAll(/data: (.*)/g)].map(([, text]) => text));
        return true;
      },
      end: () => end(status === 200),
      abort: () => end(false),
      onDrain: () => {},
    });
  });
}
