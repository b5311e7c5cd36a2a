import { z } from 'zod';
import type Log from '../events/Log';
import type KeyValue from '../keyValue/KeyValue';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type CrashReport from './CrashReport';
import type PromptBlock from './PromptBlock';
import createSuspects from './createSuspects';
import SETTLE_MS from './SETTLE_MS';

/** A block ends by itself after this time; the part may be harmless to newer engines. */
const BLOCK_MS = 3_600_000;
const MAX_BLOCKS = 1024;
const KEY_PREFIX = '/baobablink/promptBlocks/';

const BlockRecord = z.object({ version: z.number(), isBlocked: z.boolean() });

type KnownBlock = PromptBlock & { changedAt: number };
type ChangeCause = 'crashes' | 'served' | 'expired' | 'operator' | 'otherVm' | 'record';

interface PromptGuardHost extends Clock {
  keyValue: Pick<KeyValue, 'transact'>;
  /** Returns a record of the key-value service as this VM knows it. */
  tryGetRecord(key: string): { value?: string; revision: number } | undefined;
  /** Returns whether this VM writes to the key-value service for the others. */
  isWriter(now: number): boolean;
  /** Returns whether this VM repeats messages for its data centre. */
  isHub(now: number): boolean;
  broadcast(message: Message): void;
  broadcastNearby(message: Message): void;
  setBlockCount(count: number): void;
  log: Log;
}

/**
 * Refuses requests whose prompt has a part that crashes engines. VMs report crashes to each other;
 * a block is announced at once, repeated for VMs that missed it, and recorded in the key-value
 * service, from which VMs that start later learn it.
 */
export default function createPromptGuard(host: PromptGuardHost) {
  const suspects = createSuspects();
  const blocks = new Map<string, KnownBlock>();

  /** Returns the first part that is blocked, and the time until its block ends. */
  function tryGetBlock(
    now: number,
    parts: readonly string[],
  ): { part: string; endsInMs: number } | undefined {
    const part = parts.find((candidate) => blocks.get(candidate)?.isBlocked);
    if (part === undefined) {
      return undefined;
    }
    return { part, endsInMs: Math.max(0, blocks.get(part)!.changedAt + BLOCK_MS - now) };
  }

  /** Records that an engine served a request; lifts blocks of its parts. */
  function recordSuccess(now: number, parts: readonly string[]): void {
    suspects.recordSuccess(now, parts);
    parts.forEach((part) => lift(now, part, 'served'));
  }

  /** Reports a crash that this VM has seen to all VMs. */
  function reportCrash(now: number, report: CrashReport): void {
    host.broadcast({ kind: 'engineCrash', ...report });
    receiveCrash(now, report);
  }

  function receiveCrash(now: number, report: CrashReport): void {
    if (tryGetBlock(now, report.parts)) {
      suspects.explainCrash(report.engine);
      return;
    }
    suspects.recordCrash(now, report);
    host.setTimer(SETTLE_MS, () => {
      const evaluatedAt = host.now();
      suspects.takeCulprits(evaluatedAt).forEach((part) => {
        const version = (blocks.get(part)?.version ?? 0) + 1;
        announce(evaluatedAt, { part, version, isBlocked: true }, 'crashes');
      });
    });
  }

  /** Lifts the block of a part on all VMs; returns false if it is not blocked. */
  function lift(now: number, part: string, cause: ChangeCause): boolean {
    const block = blocks.get(part);
    if (!block?.isBlocked) {
      return false;
    }
    announce(now, { part, version: block.version + 1, isBlocked: false }, cause);
    return true;
  }

  function announce(now: number, block: PromptBlock, cause: ChangeCause): void {
    apply(now, block, cause);
    host.broadcast({ kind: 'promptBlocks', blocks: [block] });
  }

  function apply(now: number, block: PromptBlock, cause: ChangeCause): void {
    blocks.delete(block.part);
    blocks.set(block.part, { ...block, changedAt: now });
    if (blocks.size > MAX_BLOCKS) {
      blocks.delete(blocks.keys().next().value!);
    }
    host.setBlockCount(getBlocked().length);
    const { part, version } = block;
    host.log(block.isBlocked ? 'promptBlocked' : 'promptUnblocked', { part, version, cause });
  }

  /** Applies blocks of another VM; lifts those of parts that engines serve, by this VM's knowledge. */
  function receiveBlocks(
    now: number,
    received: readonly PromptBlock[],
    cause: ChangeCause = 'otherVm',
  ): void {
    received.filter(isNewer).forEach((block) => {
      apply(now, block, cause);
      if (block.isBlocked && suspects.isSound(now, block.part)) {
        lift(now, block.part, 'served');
      }
    });
  }

  function isNewer({ part, version, isBlocked }: PromptBlock): boolean {
    const known = blocks.get(part);
    return (
      !known ||
      version > known.version ||
      (version === known.version && isBlocked && !known.isBlocked)
    );
  }

  /** Applies a changed record of the key-value service; a deleted one lifts the block. */
  function receiveRecord(now: number, key: string, value: string | undefined): void {
    if (!key.startsWith(KEY_PREFIX)) {
      return;
    }
    const part = key.slice(KEY_PREFIX.length);
    if (value === undefined) {
      lift(now, part, 'operator');
      return;
    }
    const record = tryReadRecord(value);
    if (record) {
      receiveBlocks(now, [{ part, ...record }], 'record');
    } else {
      host.log('promptBlockUnreadable', { part });
    }
  }

  /** Ends expired blocks, repeats the others and records them; called at regular intervals. */
  function publish(now: number): void {
    if (blocks.size === 0) {
      return;
    }
    getBlocked()
      .filter(({ changedAt }) => now - changedAt > BLOCK_MS)
      .forEach(({ part }) => lift(now, part, 'expired'));
    if (host.isHub(now)) {
      const all = [...blocks.values()].map(({ changedAt: _, ...block }) => block);
      host.broadcastNearby({ kind: 'promptBlocks', blocks: all });
    }
    if (host.isWriter(now)) {
      blocks.forEach(writeIfNewer);
    }
  }

  async function writeIfNewer({ part, version, isBlocked }: PromptBlock): Promise<void> {
    const key = `${KEY_PREFIX}${part}`;
    const recorded = host.tryGetRecord(key);
    const record = recorded?.value === undefined ? undefined : tryReadRecord(recorded.value);
    if (record && record.version >= version) {
      return;
    }
    const result = await host.keyValue.transact({
      compare: [{ key, modRevision: recorded?.revision ?? 0 }],
      writes: [{ kind: 'put', key, value: JSON.stringify({ version, isBlocked }) }],
      readOnFailure: [],
    });
    if (!result.ok) {
      host.log('promptBlockUnwritten', { part, reason: result.error.kind });
    }
  }

  function getBlocked(): KnownBlock[] {
    return [...blocks.values()].filter(({ isBlocked }) => isBlocked);
  }

  return {
    tryGetBlock,
    recordSuccess,
    reportCrash,
    receiveCrash,
    receiveBlocks,
    receiveRecord,
    publish,
    lift,
    getBlocked,
  };
}

function tryReadRecord(value: string): z.infer<typeof BlockRecord> | undefined {
  try {
    return BlockRecord.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
