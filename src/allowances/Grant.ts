/** Decision on the amount of one request. */
type Grant =
  | {
      kind: 'granted';
      /** Uses the amount, right before the request is sent; false if it is no longer valid. */
      trySpend(now: number): boolean;
      /** Ends the use of the amount, which is returned unless the request was sent. */
      end(now: number, isSent: boolean): void;
    }
  | {
      kind: 'refused';
      retryAfterMs: number;
      /** State that led to the refusal, and its age; written to the log. */
      seen: AllowanceState;
    };

/** State of an organisation's account when it refused an amount. */
interface AllowanceState {
  reason: 'exceeded' | 'noHolder' | 'noReply' | 'tooLarge';
  holder: string | undefined;
  amount: number;
  /** Amount in the account, and what VMs hold of it unsent. */
  level: number;
  lent: number;
  /** Most that both may be together. */
  capacity: number;
  /** Time since the VM asked for the state; undefined if it got none. */
  ageMs: number | undefined;
}

export default Grant;
