import type { Context } from 'hono';
import type Members from '../members/Members';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Table from '../table/Table';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

const LOAD_FACTOR = 1.25;
const LOAD_ALLOWANCE = 16;

/**
 * Creates a handler that returns the addresses of the entry VMs for an adapter, in order of
 * preference. Rendezvous hashing by adapter and session gives the order, so that the same VM
 * observes the demand for them. VMs with far more in-flight requests than the average come last
 * (bounded-load hashing).
 */
export default function createWhereHandler(
  host: { now(): number; getInFlight(): number },
  parts: { members: Members; table: Table },
  options: { address: string; callerAddress: string; validForMs: number },
) {
  const { members, table } = parts;

  return function handle(context: Context<EntryContext>): Response {
    const adapter = context.req.query('adapter')?.split('@')[0];
    if (adapter === undefined) {
      return createRefusalResponse('badRequest', 'no', 0, 'adapter: required');
    }
    if (!table.tryGetValue('adapters', adapter)) {
      return createRefusalResponse('unknownAdapter', 'no', 0, adapter);
    }
    const membersByAddress = new Map(
      members.getMembers().map((member) => [member.address, member]),
    );
    const getLoad = (address: string) =>
      address === options.address
        ? host.getInFlight()
        : (membersByAddress.get(address)?.inFlight ?? 0);
    const servingAddresses = members.getServing(host.now());
    const totalLoad = servingAddresses.reduce((sum, address) => sum + getLoad(address), 0);
    const maxLoad =
      LOAD_FACTOR * (totalLoad / Math.max(1, servingAddresses.length)) + LOAD_ALLOWANCE;
    const key = `${adapter} ${context.req.query('session') ?? ''}`;
    const rankedAddresses = rankByRendezvous(key, servingAddresses);
    const orderedAddresses = [
      ...rankedAddresses.filter((address) => getLoad(address) <= maxLoad),
      ...rankedAddresses.filter((address) => getLoad(address) > maxLoad),
    ];
    const addresses = orderedAddresses.map((address) =>
      address === options.address
        ? options.callerAddress
        : membersByAddress.get(address)!.callerAddress,
    );
    return Response.json({ addresses, validForMs: options.validForMs });
  };
}
