import { z } from 'zod';
import type Log from '../events/Log';
import type CallerRequest from '../gateway/CallerRequest';
import type KeyValue from '../keyValue/KeyValue';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type Block from './Block';
import type CrashReport from './CrashReport';
import createSuspects from './createSuspects';
import getPartTrait from './getPartTrait';
import getRequestTrait from './getRequestTrait';
import SETTLE_MS from './SETTLE_MS';

/** A block ends by itself after this time; the trait may be harmless to newer upstreams. */
const BLOCK_MS = 3_600_000;
const MAX_BLOCKS = 1024;
const KEY_PREFIX = '/baobablink/blocks/';

const BlockRecord = z.object({ version: z.number(), isBlocked: z.boolean() });

type KnownBlock = Block & { changedAt: number };
type ChangeCause = 'crashes' | 'served' | 'expired' | 'operator' | 'otherVm' | 'record';

interface CrashGuardHost extends Clock {
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
 * Refuses requests with a trait that crashes upstreams. VMs report crashes to each other; a block is
 * announced at once, repeated for VMs that missed it, and recorded in the key-value service, from
 * which VMs that start later learn it.
 */
export default function createCrashGuard(host: CrashGuardHost) {
  const suspects = createSuspects();
  const blocks = new Map<string, KnownBlock>();
  const requestTraits = new WeakMap<CallerRequest, string>();

  /** Returns the first trait of a request that is blocked, and the time until its block ends. */
  function tryGetBlock(
    now: number,
    request: CallerRequest,
  ): { trait: string; endsInMs: number } | undefined {
    return blocks.size === 0 ? undefined : tryGetBlockOf(now, getKnownTraits(request));
  }

  function tryGetBlockOf(now: number, traits: readonly string[]) {
    const trait = traits.find((candidate) => blocks.get(candidate)?.isBlocked);
    if (trait === undefined) {
      return undefined;
    }
    return { trait, endsInMs: Math.max(0, blocks.get(trait)!.changedAt + BLOCK_MS - now) };
  }

  /** As `getTraits`, but computes the trait of a request once. */
  function getKnownTraits(request: CallerRequest): string[] {
    const known = requestTraits.get(request) ?? getRequestTrait(request);
    requestTraits.set(request, known);
    return [...request.sharedPromptParts.map(getPartTrait), known];
  }

  /** Records that an upstream served a request; clears its traits, and lifts their blocks. */
  function recordServed(now: number, request: CallerRequest): void {
    recordBegun(now, request);
    if (blocks.size === 0 && suspects.getCount() === 0) {
      return;
    }
    const trait = getKnownTraits(request).at(-1)!;
    if (suspects.recordSuccess(now, trait)) {
      host.broadcast({ kind: 'requestServed', trait });
    }
    lift(now, trait, 'served');
  }

  /** Records that an upstream did not end as it began to respond; clears the parts of the prompt. */
  function recordBegun(now: number, request: CallerRequest): void {
    request.sharedPromptParts.map(getPartTrait).forEach((trait) => {
      suspects.recordSuccess(now, trait);
      lift(now, trait, 'served');
    });
  }

  function receiveServed(now: number, trait: string): void {
    suspects.recordSuccess(now, trait);
  }

  /** Reports a crash that this VM has seen to all VMs. */
  function reportCrash(now: number, report: CrashReport): void {
    host.broadcast({ kind: 'upstreamCrash', ...report });
    receiveCrash(now, report);
  }

  function receiveCrash(now: number, report: CrashReport): void {
    if (report.requests.some(({ traits }) => tryGetBlockOf(now, traits))) {
      suspects.explainCrash(report.upstream);
      return;
    }
    suspects.recordCrash(now, report);
    host.setTimer(SETTLE_MS, () => {
      const evaluatedAt = host.now();
      suspects.takeCulprits(evaluatedAt).forEach((trait) => {
        const version = (blocks.get(trait)?.version ?? 0) + 1;
        announce(evaluatedAt, { trait, version, isBlocked: true }, 'crashes');
      });
    });
  }

  /** Lifts the block of a trait on all VMs; returns false if it is not blocked. */
  function lift(now: number, trait: string, cause: ChangeCause): boolean {
    const block = blocks.get(trait);
    if (!block?.isBlocked) {
      return false;
    }
    announce(now, { trait, version: block.version + 1, isBlocked: false }, cause);
    return true;
  }

  function announce(now: number, block: Block, cause: ChangeCause): void {
    apply(now, block, cause);
    host.broadcast({ kind: 'blocks', blocks: [block] });
  }

  function apply(now: number, block: Block, cause: ChangeCause): void {
    blocks.delete(block.trait);
    blocks.set(block.trait, { ...block, changedAt: now });
    if (blocks.size > MAX_BLOCKS) {
      blocks.delete(blocks.keys().next().value!);
    }
    host.setBlockCount(getBlocked().length);
    const { trait, version } = block;
    host.log(block.isBlocked ? 'traitBlocked' : 'traitUnblocked', { trait, version, cause });
  }

  /** Applies blocks of another VM; lifts those of parts that upstreams serve, by this VM's knowledge. */
  function receiveBlocks(
    now: number,
    received: readonly Block[],
    cause: ChangeCause = 'otherVm',
  ): void {
    received.filter(isNewer).forEach((block) => {
      apply(now, block, cause);
      if (block.isBlocked && suspects.isSound(now, block.trait)) {
        lift(now, block.trait, 'served');
      }
    });
  }

  function isNewer({ trait, version, isBlocked }: Block): boolean {
    const known = blocks.get(trait);
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
    const trait = key.slice(KEY_PREFIX.length);
    if (value === undefined) {
      lift(now, trait, 'operator');
      return;
    }
    const record = tryReadRecord(value);
    if (record) {
      receiveBlocks(now, [{ trait, ...record }], 'record');
    } else {
      host.log('blockUnreadable', { trait });
    }
  }

  /** Ends expired blocks, repeats the others and records them; called at regular intervals. */
  function publish(now: number): void {
    if (blocks.size === 0) {
      return;
    }
    getBlocked()
      .filter(({ changedAt }) => now - changedAt > BLOCK_MS)
      .forEach(({ trait }) => lift(now, trait, 'expired'));
    if (host.isHub(now)) {
      const all = [...blocks.values()].map(({ changedAt: _, ...block }) => block);
      host.broadcastNearby({ kind: 'blocks', blocks: all });
    }
    if (host.isWriter(now)) {
      blocks.forEach(writeIfNewer);
    }
  }

  async function writeIfNewer({ trait, version, isBlocked }: Block): Promise<void> {
    const key = `${KEY_PREFIX}${trait}`;
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
      host.log('blockUnwritten', { trait, reason: result.error.kind });
    }
  }

  function getBlocked(): KnownBlock[] {
    return [...blocks.values()].filter(({ isBlocked }) => isBlocked);
  }

  return {
    tryGetBlock,
    recordServed,
    recordBegun,
    receiveServed,
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
