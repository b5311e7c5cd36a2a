import { Agent, request } from 'undici';
import { z } from 'zod';
import createBoundedConnector from '../upstream/createBoundedConnector';
import readResponseText from '../upstream/readResponseText';
import rejectInvalidStatus from '../upstream/rejectInvalidStatus';
import type VirtualMachine from './VirtualMachine';

const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

const VmListResponse = z.object({
  vms: z.array(
    z.object({
      address: z.string(),
      role: z.enum(['entry', 'upstream']),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Creates a client of the platform's list of VMs; it returns undefined if a request fails. */
export default function createVirtualMachineList(url: string, timeoutMs: number) {
  const dispatcher = new Agent({
    connect: createBoundedConnector({
      connectTimeoutMs: timeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }),
  });

  return async function tryGetList(): Promise<VirtualMachine[] | undefined> {
    try {
      const response = await request(url, {
        dispatcher,
        onInfo: rejectInvalidStatus,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const parsed = VmListResponse.safeParse(JSON.parse(await readResponseText(response.body)));
      return parsed.success ? parsed.data.vms : undefined;
    } catch {
      return undefined;
    }
  };
}
