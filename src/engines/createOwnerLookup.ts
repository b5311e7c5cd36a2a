import type Change from '../keyValue/Change';

const OWNER_PREFIX = '/baobablink/engines/';

/**
 * Returns a function that returns the VM that owns an engine, or undefined if none does. A record is
 * decoded once: each VM asks for the owners of all engines in use several times a second.
 */
export default function createOwnerLookup(
  tryGetEntry: (key: string) => Change | undefined,
): (engine: string) => string | undefined {
  const holders = new WeakMap<Change, string>();

  return (engine) => {
    const entry = tryGetEntry(`${OWNER_PREFIX}${engine}`);
    if (!entry?.value) {
      return undefined;
    }
    let holder = holders.get(entry);
    if (holder === undefined) {
      holder = (JSON.parse(entry.value) as { holder: string }).holder;
      holders.set(entry, holder);
    }
    return holder === '' ? undefined : holder;
  };
}
