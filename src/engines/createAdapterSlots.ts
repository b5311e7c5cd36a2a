import type AdapterSlot from './AdapterSlot';
import type EngineReport from './EngineReport';
import getAdapterKey from './getAdapterKey';

interface ReportedAdapters {
  models: EngineReport['models'];
  coming: EngineReport['coming'];
  sequence: number;
}

/**
 * Holds what occupies one engine's adapter slots, or may. An adapter that the engine held leaves its
 * slot only once an unload has been confirmed: the engine need not report adapters whose unload
 * waits for requests.
 */
export default function createAdapterSlots(options: { loadMs: number }) {
  let slots: AdapterSlot[] = [];

  /** Adds a slot for a load that is about to be sent, in place of one with the same adapter. */
  function addLoad(now: number, key: string, version: number, sequence: number): AdapterSlot {
    const isHeld = slots.some((slot) => slot.key === key && slot.isHeld);
    slots = slots.filter((slot) => slot.key !== key);
    const slot = {
      ...createSlot(now, key, version, 'loading'),
      sentAtSequence: sequence,
      isHeld,
    };
    slots.push(slot);
    return slot;
  }

  function remove(slot: AdapterSlot): void {
    slots = slots.filter((other) => other !== slot);
  }

  /**
   * Applies a report. Keeps the slots of commands without a response that may still be executed, and
   * those of adapters that the engine held and no longer reports, which are unloaded again until
   * that is confirmed.
   */
  function applyReport(now: number, report: ReportedAdapters): void {
    const residentSlots = report.models.flatMap((model) =>
      model.adapters.map(({ name, version }) =>
        createSlot(now, getAdapterKey(model.name, name), version, 'resident'),
      ),
    );
    const loadingSlots = report.coming.map(({ model, adapter, version }) => {
      const key = getAdapterKey(model, adapter);
      const requesters = slots.find((slot) => slot.key === key)?.requesters ?? [];
      return {
        ...createSlot(now, key, version, 'loading'),
        dueAt: now + options.loadMs,
        requesters: [...requesters],
      };
    });
    const reportedSlots = [...residentSlots, ...loadingSlots].map((slot) => ({
      ...slot,
      isHeld: true,
    }));
    const reportedKeys = new Set(reportedSlots.map(({ key }) => key));
    const unreportedSlots = slots.filter(({ key }) => !reportedKeys.has(key));
    const uncertainSlots = unreportedSlots.filter(
      ({ isHeld, state, sentAtSequence }) =>
        !isHeld && state === 'uncertain' && sentAtSequence === report.sequence,
    );
    const leavingSlots = unreportedSlots
      .filter(({ isHeld }) => isHeld)
      .map((slot) => ({ ...slot, state: 'leaving' as const, dueAt: now }));
    slots = [...reportedSlots, ...uncertainSlots, ...leavingSlots];
  }

  /**
   * Removes the slots of loads without a response that can't be executed any more, since the engine
   * has counted a command with the same expected count.
   */
  function removeSuperseded(sequence: number): void {
    slots = slots.filter(
      (slot) => slot.isHeld || slot.state !== 'uncertain' || slot.sentAtSequence !== sequence,
    );
  }

  function getCounts() {
    const count = (state: AdapterSlot['state']) =>
      slots.filter((slot) => slot.state === state).length;
    return {
      resident: count('resident'),
      loading: count('loading'),
      uncertain: count('uncertain'),
      leaving: count('leaving'),
    };
  }

  return {
    getAll: (): readonly AdapterSlot[] => slots,
    addLoad,
    remove,
    applyReport,
    removeSuperseded,
    getCounts,
    clear: () => {
      slots = [];
    },
  };
}

function createSlot(
  now: number,
  key: string,
  version: number,
  state: AdapterSlot['state'],
): AdapterSlot {
  return {
    key,
    version,
    state,
    since: now,
    dueAt: now,
    sentAtSequence: undefined,
    isHeld: false,
    requesters: [],
  };
}
