const MB = 1024 * 1024;
/** The heap, the runtime and garbage that is not yet collected take most of a VM's memory. */
const HELD_SHARE = 0.12;
/** Room for a few bodies of the largest size, 4 MiB each. */
const MIN_HELD_BYTES = 12 * MB;
const DEFAULT_HELD_BYTES = 64 * MB;
const DEFAULT_MAX_FDS = 8192;
/** Descriptors that the settings set aside for files. */
const FILE_FDS = 200;
/** Smallest bound on the connections of one address, so that operators always get through. */
const MIN_CONNECTIONS = 8;
/**
 * Shares of the descriptors for connections. What is left is for connections to the store, links to
 * peers and the process itself.
 */
const SHARES = { callers: 0.4, upstreams: 0.25, forwards: 0.1, handshakes: 0.1, operators: 0.02 };

/** Returns the limits of one VM on what it holds for others, from its memory and descriptors. */
export default function getClientLimits(machine: { ramMb?: number; maxFds?: number }) {
  const sockets = Math.max(0, (machine.maxFds ?? DEFAULT_MAX_FDS) - FILE_FDS);
  const getCount = (share: number) => Math.max(MIN_CONNECTIONS, Math.floor(sockets * share));
  return {
    heldBytes:
      machine.ramMb === undefined
        ? DEFAULT_HELD_BYTES
        : Math.max(MIN_HELD_BYTES, machine.ramMb * MB * HELD_SHARE),
    callerConnections: getCount(SHARES.callers),
    upstreamConnections: getCount(SHARES.upstreams),
    forwardConnections: getCount(SHARES.forwards),
    /** Connections of the mesh that have not authenticated yet. */
    meshHandshakes: getCount(SHARES.handshakes),
    /** Connections on each of the addresses for readiness, the directory and the metrics. */
    operatorConnections: getCount(SHARES.operators),
  };
}
