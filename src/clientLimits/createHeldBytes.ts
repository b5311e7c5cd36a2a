/** Above this share of the limit, only the oldest bodies are read, as many as can be completed. */
const PAUSE_SHARE = 0.5;
/** Bodies up to this size are always read, so that ordinary requests pass while large ones wait. */
const SMALL_BYTES = 16 * 1024;
/** An entry that made no progress for this long is closed while memory is short. */
const STUCK_MS = 1000;

/** Why an entry is closed: it does not progress, or it is the most expensive one above the limit. */
type CloseReason = 'stuck' | 'overLimit';

interface HeldEntry {
  /** Records how many bytes are held now. */
  setBytes(now: number, bytes: number): void;
  /** Records that the bytes wait for this VM, not for the other end; the entry is then not closed. */
  complete(now: number): void;
  release(now: number): void;
}

interface Holder {
  /** Largest number of bytes that the entry can reach. */
  maxBytes: number;
  /** Returns the bytes that the other end has sent or accepted, by which progress is recognised. */
  getProgress(): number;
  pause(): void;
  resume(): void;
  close(reason: CloseReason): void;
}

interface State extends Holder {
  kind: 'reading' | 'paused' | 'unread' | 'complete';
  bytes: number;
  progress: number;
  progressAt: number;
}

/**
 * Creates the account of the bytes that a VM holds for others: bodies being read, requests that
 * wait, and responses that a caller has not read. It handles many clients that send large bodies
 * without ending them, or read nothing, at the same time: above a share of the limit it pauses
 * reading, and closes what is stuck, the largest first.
 */
export default function createHeldBytes(options: { limitBytes: number }) {
  const { limitBytes } = options;
  const pauseBytes = limitBytes * PAUSE_SHARE;
  /** In order of arrival. */
  const states = new Set<State>();
  let heldBytes = 0;

  function add(now: number, kind: 'reading' | 'unread', holder: Holder): HeldEntry {
    const state: State = { ...holder, kind, bytes: 0, progress: -1, progressAt: now };
    states.add(state);
    return {
      setBytes: (changedAt, bytes) => {
        if (states.has(state)) {
          heldBytes += bytes - state.bytes;
          state.bytes = bytes;
          decide(changedAt);
        }
      },
      complete: (completedAt) => {
        state.kind = 'complete';
        decide(completedAt);
      },
      release: (releasedAt) => {
        if (remove(state)) {
          decide(releasedAt);
        }
      },
    };
  }

  function remove(state: State): boolean {
    if (!states.delete(state)) {
      return false;
    }
    heldBytes -= state.bytes;
    return true;
  }

  /** Pauses, resumes and closes entries; also called periodically, as entries become stuck. */
  function decide(now: number): void {
    if (heldBytes >= pauseBytes) {
      closeStuck(now);
    }
    while (heldBytes > limitBytes && closeLargest()) {
      // Each step closes one entry.
    }
    if (heldBytes < pauseBytes) {
      states.forEach((state) => resume(now, state));
    } else {
      admitOldest(now);
    }
  }

  function closeStuck(now: number): void {
    states.forEach((state) => {
      const progress = state.getProgress();
      if (progress !== state.progress) {
        Object.assign(state, { progress, progressAt: now });
      }
    });
    [...states]
      .filter((state) => isWaitingForOther(state) && now - state.progressAt >= STUCK_MS)
      .filter(({ bytes }) => bytes > SMALL_BYTES)
      .sort((left, right) => right.bytes - left.bytes)
      .forEach((state) => {
        if (heldBytes >= pauseBytes) {
          close(state, 'stuck');
        }
      });
  }

  /** Closes the largest entry that is paused or whose other end does not read, else the youngest. */
  function closeLargest(): boolean {
    const open = [...states].filter(({ kind }) => kind !== 'complete');
    const waiting = open.filter(({ kind }) => kind !== 'reading');
    const [chosen] = (waiting.length > 0 ? waiting : open.reverse()).sort(
      (left, right) => right.bytes - left.bytes,
    );
    if (!chosen || chosen.bytes === 0) {
      return false;
    }
    close(chosen, 'overLimit');
    return true;
  }

  function close(state: State, reason: CloseReason): void {
    remove(state);
    state.close(reason);
  }

  /** Lets the oldest bodies continue that can be completed within the limit, but at least one. */
  function admitOldest(now: number): void {
    let freeBytes = limitBytes - heldBytes;
    let hasAdmitted = false;
    states.forEach((state) => {
      if (state.kind !== 'reading' && state.kind !== 'paused') {
        return;
      }
      if (state.bytes <= SMALL_BYTES) {
        resume(now, state);
        return;
      }
      const missingBytes = Math.max(0, state.maxBytes - state.bytes);
      if (!hasAdmitted || missingBytes <= freeBytes) {
        hasAdmitted = true;
        freeBytes -= missingBytes;
        resume(now, state);
      } else if (state.kind === 'reading') {
        state.kind = 'paused';
        state.pause();
      }
    });
  }

  function resume(now: number, state: State): void {
    if (state.kind === 'paused') {
      Object.assign(state, { kind: 'reading', progressAt: now });
      state.resume();
    }
  }

  return {
    add,
    decide,
    /** Returns whether memory is short, so that new large entries would be paused. */
    isShort: () => heldBytes >= pauseBytes,
    getHeldBytes: () => heldBytes,
  };
}

/** Returns whether the other end has to act: to send the rest of a body, or to read a response. */
function isWaitingForOther({ kind }: State): boolean {
  return kind === 'reading' || kind === 'unread';
}
