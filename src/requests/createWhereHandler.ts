import type { Context } from 'hono';
import type Members from '../members/Members';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Table from '../table/Table';
import type EntryContext from './EntryContext';
import getRefusal from './getRefusal';

const LOAD_FACTOR = 1.25;
const LOAD_ALLOWANCE = 16;

/**
 * Tells callers which entry VMs to use for an adapter: its rendezvous home first, so that one VM
 * sees its demand, but none that is loaded well beyond the others (bounded-load hashing).
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
      return getRefusal('badRequest', 'no', 0, 'adapter: required');
    }
    if (!table.tryGetValue('adapters', adapter)) {
      return getRefusal('unknownAdapter', 'no', 0, adapter);
    }
    const known = new Map(members.getMembers().map((member) => [member.address, member]));
    const getLoad = (address: string) =>
      address === options.address ? host.getInFlight() : (known.get(address)?.inFlight ?? 0);
    const serving = members.getServing(host.now());
    const total = serving.reduce((sum, address) => sum + getLoad(address), 0);
    const bound = LOAD_FACTOR * (total / Math.max(1, serving.length)) + LOAD_ALLOWANCE;
    const key = `${adapter} ${context.req.query('session') ?? ''}`;
    const ranked = rankByRendezvous(key, serving);
    const ordered = [
      ...ranked.filter((address) => getLoad(address) <= bound),
      ...ranked.filter((address) => getLoad(address) > bound),
    ];
    const addresses = ordered.map((address) =>
      address === options.address ? options.callerAddress : known.get(address)!.callerAddress,
    );
    return Response.json({ addresses, validForMs: options.validForMs });
  };
}
