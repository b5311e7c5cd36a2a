import { createHash } from 'node:crypto';
import isSameSecret from '../shared/isSameSecret';
import type Table from '../table/Table';
import type TeamRow from '../table/TeamRow';
import type Client from './Client';

const BEARER = 'Bearer ';

/**
 * Finds out who sent a request by its bearer secret. Keys are looked up by their digests, so the
 * time of a look-up tells nothing of a key.
 */
export default function createAuthenticator(table: Table, rootToken: string | undefined) {
  let clients = new Map<string, Client>();
  let builtAt = -1;

  function rebuild(): void {
    clients = new Map();
    table.getRows('teams').forEach((row) => {
      const value = row.value as TeamRow;
      value.keys.forEach((key) => clients.set(key, { kind: 'caller', team: row.name }));
      value.operators.forEach(({ token, role }) =>
        clients.set(token, { kind: 'operator', team: row.name, role }),
      );
    });
    builtAt = table.getChangeCount();
  }

  return function tryAuthenticate(authorization: string | undefined): Client | undefined {
    if (!authorization?.startsWith(BEARER)) {
      return undefined;
    }
    const secret = authorization.slice(BEARER.length);
    if (rootToken !== undefined && isSameSecret(secret, rootToken)) {
      return { kind: 'operator', team: undefined, role: 'editor' };
    }
    if (builtAt !== table.getChangeCount()) {
      rebuild();
    }
    return clients.get(createHash('sha256').update(secret).digest('hex'));
  };
}
