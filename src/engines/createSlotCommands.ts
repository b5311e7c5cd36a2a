import type Clock from '../shared/Clock';
import type AdapterSlot from './AdapterSlot';
import type createAdapterSlots from './createAdapterSlots';
import type createCommandSender from './createCommandSender';
import type createLoadQueue from './createLoadQueue';
import type createSlotWaitEstimate from './createSlotWaitEstimate';
import type LoadRequest from './LoadRequest';

/** Duration of a load of an adapter that the engine held recently, a tenth of `LOAD_MS`. */
const RELOAD_MS = 25;
/** Adapter versions that are remembered for the choice of `RELOAD_MS`. */
const MAX_RECENTLY_HELD = 180;
const CONFIRM_RETRY_MS = 30;
/**
 * Interval at which an accepted unload is sent again until no request uses the adapter. A stream
 * takes some seconds; it is rare that a request starts on an adapter that has just been unloaded.
 */
const UNLOAD_RETRY_MS = 300;

interface SlotCommandsHost extends Pick<Clock, 'now'> {
  /** Publishes the engine's state; `requesters` wait for an adapter that is now resident. */
  announce(requesters?: readonly string[]): void;
  refuse(request: LoadRequest, reason: 'failed'): void;
  /** Called if the engine did not respond. */
  onUncertain(): void;
  /** Schedules a read of the engine's report, before which no other command is sent. */
  readAfter(delayMs: number): void;
}

/**
 * Sends the commands that change one engine's adapter slots and applies their results. Each function
 * returns the delay until the next action in milliseconds.
 */
export default function createSlotCommands(
  host: SlotCommandsHost,
  parts: {
    slots: ReturnType<typeof createAdapterSlots>;
    queue: ReturnType<typeof createLoadQueue>;
    commandSender: ReturnType<typeof createCommandSender>;
    slotWaits: ReturnType<typeof createSlotWaitEstimate>;
  },
  options: { loadMs: number; reportLagMs: number; retryPauseMs: number },
) {
  const { slots, queue, commandSender, slotWaits } = parts;
  const recentlyHeld = new Set<string>();

  async function startLoad(now: number, request: LoadRequest): Promise<number> {
    queue.remove(request);
    slotWaits.record(now, now - request.since, request.position);
    const slot = slots.addLoad(now, request.key, request.version, commandSender.getSequence());
    slot.requesters.push(...request.requesters);
    host.announce();
    const result = await commandSender.send('load', {
      kind: 'load',
      model: request.model,
      adapter: request.adapter,
      version: request.version || undefined,
    });
    const respondedAt = host.now();
    const wasRecentlyHeld = recentlyHeld.has(`${request.key}@${request.version}`);
    slot.dueAt = respondedAt + (wasRecentlyHeld ? RELOAD_MS : options.loadMs);
    return handleResult(
      result,
      slot,
      () => {
        slot.isHeld = true;
        if (result === 'held') {
          slot.state = 'resident';
          host.announce(slot.requesters);
        }
      },
      request,
    );
  }

  /**
   * Repeats the command of a load that should be complete. The engine responds with `held` once the
   * adapter is resident.
   */
  async function confirmLoad(slot: AdapterSlot): Promise<number> {
    const [model, adapter] = slot.key.split('/');
    slot.sentAtSequence = commandSender.getSequence();
    const result = await commandSender.send('confirm', {
      kind: 'load',
      model,
      adapter,
      version: slot.version || undefined,
    });
    return handleResult(result, slot, () => {
      if (result === 'held') {
        slot.state = 'resident';
        slot.since = host.now();
        addRecentlyHeld(slot);
        host.announce(slot.requesters);
      } else {
        slot.dueAt = host.now() + CONFIRM_RETRY_MS;
      }
    });
  }

  async function unload(slot: AdapterSlot): Promise<number> {
    const [model, adapter] = slot.key.split('/');
    slot.state = 'leaving';
    slot.sentAtSequence = commandSender.getSequence();
    host.announce();
    const result = await commandSender.send('unload', {
      kind: 'unload',
      model,
      adapter,
      version: undefined,
    });
    return handleResult(result, slot, () => {
      if (result === 'accepted') {
        // Requests still run on the adapter. Its slot is free once the same command returns `held`.
        slot.dueAt = host.now() + UNLOAD_RETRY_MS;
        return;
      }
      slots.remove(slot);
      host.announce();
    });
  }

  /**
   * Handles the result of a command. Calls `onApplied` if the engine has accepted it; otherwise
   * schedules a read of the engine's report. Returns the delay until the next action in
   * milliseconds.
   */
  function handleResult(
    result: Awaited<ReturnType<typeof commandSender.send>>,
    slot: AdapterSlot,
    onApplied: () => void,
    request?: LoadRequest,
  ): number {
    if (result === 'accepted' || result === 'held') {
      onApplied();
      return 0;
    }
    const isUncertain = result === 'noAnswer';
    if (isUncertain) {
      Object.assign(slot, { state: 'uncertain' });
      host.onUncertain();
      if (request) {
        host.refuse(request, 'failed');
      }
    } else if (request) {
      if (!slot.isHeld) {
        slots.remove(slot);
      }
      if (result === 'refused') {
        host.refuse(request, 'failed');
      } else {
        queue.restore(request);
      }
    }
    const delayMs = isUncertain ? options.reportLagMs : options.retryPauseMs;
    host.readAfter(delayMs);
    return delayMs;
  }

  function addRecentlyHeld(slot: AdapterSlot): void {
    recentlyHeld.add(`${slot.key}@${slot.version}`);
    if (recentlyHeld.size > MAX_RECENTLY_HELD) {
      recentlyHeld.delete(recentlyHeld.values().next().value as string);
    }
  }

  return { startLoad, confirmLoad, unload };
}
