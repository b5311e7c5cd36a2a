import { createHash } from 'node:crypto';
import isSameSecret from '../shared/isSameSecret';
import type Table from '../table/Table';
import type TeamRow from '../table/TeamRow';
import type Client from './Client';

const BEARER_PREFIX = 'Bearer ';

/**
 * Returns a function that identifies the sender of a request by the bearer secret. Secrets are
 * looked up by their SHA-256 digests, so that the duration of a look-up reveals nothing about a
 * valid secret.
 */
export default function createAuthenticator(table: Table, rootToken: string | undefined) {
  let clientsByDigest = new Map<string, Client>();
  let builtAtChangeCount = -1;

  function rebuildClients(): void {
    clientsByDigest = new Map();
    table.getRows('teams').forEach((row) => {
      const team = row.value as TeamRow;
      team.keys.forEach((key) => clientsByDigest.set(key, { kind: 'caller', team: row.name }));
      team.operators.forEach(({ token, role }) =>
        clientsByDigest.set(token, { kind: 'operator', team: row.name, role }),
      );
    });
    builtAtChangeCount = table.getChangeCount();
  }

  return function tryAuthenticate(authorization: string | undefined): Client | undefined {
    if (!authorization?.startsWith(BEARER_PREFIX)) {
      return undefined;
    }
    const secret = authorization.slice(BEARER_PREFIX.length);
    if (rootToken !== undefined && isSameSecret(secret, rootToken)) {
      return { kind: 'operator', team: undefined, role: 'editor' };
    }
    if (builtAtChangeCount !== table.getChangeCount()) {
      rebuildClients();
    }
    return clientsByDigest.get(createHash('sha256').update(secret).digest('hex'));
  };
}
