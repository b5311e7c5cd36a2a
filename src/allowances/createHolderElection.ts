import type Message from '../mesh/Message';

/** Interval of polls; with many VMs it grows, so that the holder's work does not. */
const MIN_POLL_INTERVAL_MS = 250;
const POLL_INTERVAL_PER_VM_MS = 1.5;
/** A vote outlasts three lost polls, and the leases of a holder (`LEASE_MS`). */
const POLLS_PER_VOTE = 4;
/** Votes count for less time at the holder than at the voter, for timers that run late. */
const VOTE_MARGIN_MS = 50;
/** A VM that has just started waits for this long to hear of the others, which may start as well. */
const MIN_UPTIME_MS = 350;
/**
 * VMs that seem to be gone count for this long if there is no holder. They may be the larger part of a
 * partition; without a limit, nothing would be lent after most VMs were removed at once.
 */
const FORGOTTEN_MS = 60_000;
/** A VM that does not poll, or does not get enough votes, is passed over for this many votes. */
const VOTES_PASSED_OVER = 5;

/** A timer that runs a little early still polls. */
const MIN_INTERVAL_PART = 0.9;

type Poll = Extract<Message, { kind: 'allowancePoll' }>;
type VoteMessage = Extract<Message, { kind: 'allowanceVote' }>;

interface HolderElectionHost {
  /** Returns the VMs that may run, this one included; undefined if they are not known yet. */
  tryGetVms(now: number): readonly string[] | undefined;
  /** Ranks the VMs that serve; the first is to be the holder. */
  rankHolders(now: number): readonly string[];
  send(to: string, message: Message): boolean;
  /** Called when this VM votes for another holder than before. */
  onHolderChange(now: number): void;
  /** Called when this VM becomes the holder; `missing` VMs have not voted for it. */
  onElected(now: number, missing: number): void;
}

interface Vote {
  /** The poll was sent at this time, so that the vote was given later. */
  polledAt: number;
  expiresAt: number;
  vmCount: number;
  /** Whether the VM can't have voted for another holder in a former run. */
  isSure: boolean;
}

/**
 * Elects the VM that holds the accounts of all allowances. A holder polls all VMs, and may lend as long as
 * more than half of them have voted for it; a VM votes for one holder at a time, and for no other until its
 * vote has expired. There are thus never two holders, however VMs and links fail or pause: a vote counts
 * from the time at which the poll was sent, by the clock of the holder alone.
 *
 * A VM that has just started may have voted in its former run. Its vote counts only if all VMs have voted,
 * which a former holder would not have, or once a vote of the former run has expired. All VMs can
 * therefore start at the same time and have a holder at once.
 */
export default function createHolderElection(
  host: HolderElectionHost,
  options: { address: string; run: string; startedAt: number },
) {
  const votes = new Map<string, Vote>();
  /** VMs that count for a majority, with the time since which they seem to be gone. */
  const vms = new Map<string, number | undefined>();
  const passedOver = new Map<string, number>();
  /** The holder for which this VM votes; `run` differs between runs of a VM. */
  let choice: { address: string; run: string; until: number } | undefined;
  let polledAt = new Map<number, number>();
  let round = 0;
  let lastPollAt = -Infinity;
  /** The latest time at which a poll was heard, this VM began to poll, or a VM was passed over. */
  let progressAt = -Infinity;
  /** Whether this VM has known the others at a refresh. */
  let isReady = false;
  let electedUntil = -Infinity;
  let isElected = false;

  function getVoteMs(): number {
    return getPollIntervalMs() * POLLS_PER_VOTE;
  }

  function getPollIntervalMs(): number {
    return Math.max(MIN_POLL_INTERVAL_MS, vms.size * POLL_INTERVAL_PER_VM_MS);
  }

  /** Adds VMs that have been found; returns whether the VMs are known. */
  function updateVms(now: number): boolean {
    const found = host.tryGetVms(now);
    if (!found) {
      return false;
    }
    const isFound = new Set(found);
    found.forEach((vm) => vms.set(vm, undefined));
    vms.forEach((goneSince, vm) => {
      if (isFound.has(vm)) {
        return;
      }
      vms.set(vm, goneSince ?? now);
      if (goneSince !== undefined && now - goneSince >= FORGOTTEN_MS) {
        vms.delete(vm);
      }
    });
    return true;
  }

  /** Forgets the VMs that are gone. A majority that counts them agrees, as it has elected the holder. */
  function forgetVms(): void {
    vms.forEach((goneSince, vm) => goneSince !== undefined && vms.delete(vm));
  }

  function getChoice(now: number) {
    return choice && now < choice.until ? choice : undefined;
  }

  /** Polls, stands for holder or passes over a VM that should; called at regular intervals. */
  function refresh(now: number): void {
    if (now - options.startedAt < MIN_UPTIME_MS || !updateVms(now)) {
      return;
    }
    updateElected(now);
    const chosen = getChoice(now);
    if (chosen && !isSelf(chosen)) {
      return;
    }
    passedOver.forEach((until, vm) => now >= until && passedOver.delete(vm));
    if (!isReady) {
      isReady = true;
      progressAt = now;
    }
    const expected = choice?.address ?? getPreferred(now);
    const hadTime = expected !== options.address || lastPollAt >= progressAt;
    if (!isElected && hadTime && now - progressAt >= getVoteMs()) {
      passOver(now, expected);
    }
    if (isElected || getPreferred(now) === options.address) {
      poll(now);
    }
  }

  function getPreferred(now: number): string | undefined {
    return host.rankHolders(now).find((vm) => !passedOver.has(vm));
  }

  function passOver(now: number, vm: string | undefined): void {
    progressAt = now;
    if (vm !== undefined) {
      passedOver.set(vm, now + VOTES_PASSED_OVER * getVoteMs());
    }
    choice = undefined;
    votes.delete(options.address);
  }

  function poll(now: number): void {
    // A refresh comes a little early or late.
    if (now - lastPollAt < getPollIntervalMs() * MIN_INTERVAL_PART) {
      return;
    }
    lastPollAt = now;
    round += 1;
    polledAt = new Map([...polledAt, [round, now] as const].slice(-POLLS_PER_VOTE));
    const message = { kind: 'allowancePoll' as const, run: options.run, round, isElected };
    if (!getChoice(now)) {
      progressAt = now;
    }
    const ownVote = vote(now, options.address, message);
    if (ownVote) {
      handleVote(now, options.address, ownVote);
    }
    vms.forEach((_, vm) => vm !== options.address && host.send(vm, message));
  }

  function isSelf(holder: { address: string; run: string }): boolean {
    return holder.address === options.address && holder.run === options.run;
  }

  /** Votes for a VM, unless this VM has voted for another one; returns the vote. */
  function vote(
    now: number,
    from: string,
    { run, round: polledRound, isElected: isByHolder }: Poll,
  ): VoteMessage | undefined {
    endIfExpired(now);
    if (!updateVms(now)) {
      return undefined;
    }
    const chosen = getChoice(now);
    if (chosen && (chosen.address !== from || chosen.run !== run)) {
      if (!isSelf(chosen) || isElected || !isPreferredTo(now, from)) {
        return undefined;
      }
      votes.delete(options.address);
    }
    if (choice?.address !== from || choice.run !== run) {
      host.onHolderChange(now);
    }
    if (isByHolder) {
      forgetVms();
    }
    const forMs = getVoteMs();
    choice = { address: from, run, until: now + forMs };
    if (from !== options.address) {
      progressAt = now;
    }
    const isSeasoned = now - options.startedAt >= forMs;
    return { kind: 'allowanceVote', round: polledRound, vmCount: vms.size, forMs, isSeasoned };
  }

  /** Returns whether a VM that stands beside this one ranks before it. */
  function isPreferredTo(now: number, vm: string): boolean {
    const ranked = host.rankHolders(now);
    const rank = ranked.indexOf(vm);
    return rank >= 0 && !passedOver.has(vm) && rank < ranked.indexOf(options.address);
  }

  function handlePoll(now: number, from: string, polled: Poll): void {
    const given = vote(now, from, polled);
    if (given) {
      host.send(from, given);
    }
  }

  function handleVote(
    now: number,
    from: string,
    { round: votedRound, vmCount, forMs, isSeasoned }: VoteMessage,
  ): void {
    endIfExpired(now);
    const votePolledAt = polledAt.get(votedRound);
    const known = votes.get(from);
    if (votePolledAt === undefined || votePolledAt <= (known?.polledAt ?? -Infinity)) {
      return;
    }
    votes.set(from, {
      polledAt: votePolledAt,
      expiresAt: votePolledAt + forMs - VOTE_MARGIN_MS,
      vmCount,
      // A VM that has voted for this one has voted for no other since.
      isSure: isSeasoned || known?.isSure === true,
    });
    updateElected(now);
  }

  /** Ends this VM's right to lend if its votes have expired, as they do while it is paused. */
  function endIfExpired(now: number): void {
    isElected &&= now < electedUntil;
  }

  /** Determines until when this VM is the holder by the votes that it has received. */
  function updateElected(now: number): void {
    endIfExpired(now);
    votes.forEach(({ expiresAt }, vm) => now >= expiresAt && votes.delete(vm));
    if (votes.size === 0) {
      return;
    }
    const allVms = new Set([...vms.keys(), ...votes.keys()]);
    const given = [...votes.values()];
    const vmCount = Math.max(allVms.size, ...given.map((known) => known.vmCount));
    if (given.length >= vmCount) {
      given.forEach((known) => Object.assign(known, { isSure: true }));
    }
    const ends = given
      .filter(({ isSure }) => isSure)
      .map(({ expiresAt }) => expiresAt)
      .sort((left, right) => right - left);
    electedUntil = ends[Math.floor(vmCount / 2)] ?? -Infinity;
    endIfExpired(now);
    if (now < electedUntil && !isElected) {
      isElected = true;
      host.onElected(now, vmCount - given.length);
    }
  }

  return {
    refresh,
    handlePoll,
    handleVote,
    /** Returns whether this VM may lend. */
    isHolder: (now: number) => {
      endIfExpired(now);
      return isElected;
    },
    /** Returns the VM that this one takes as the holder; undefined if it knows none. */
    tryGetHolder: (now: number) => getChoice(now)?.address,
  };
}
