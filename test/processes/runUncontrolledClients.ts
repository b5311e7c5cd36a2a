import { expect } from 'chai';
import createUncontrolledClients from './createUncontrolledClients';
import readProcess from './readProcess';

/** Clients that have not sent everything by then stop waiting; their connections stay open. */
const SEND_LIMIT_MS = 4000;
/** The clients' connections stay open for this long before the process is examined. */
const HOLD_MS = 700;
const SAMPLE_MS = 50;

type Sender = (write: (bytes: Buffer | string) => Promise<boolean>) => Promise<unknown>;

/**
 * Lets clients send at the same time, and checks that the process is alive, that its memory and
 * descriptors stay below the bounds, and that an ordinary request is answered while the clients'
 * connections are still open.
 */
export default async function runUncontrolledClients(options: {
  address: string;
  pid: number;
  /** The clients use these in turn. */
  senders: Sender[];
  count: number;
  bounds: { residentMb: number; descriptors: number };
  getExits(): unknown[];
  getAnswer(): Promise<void>;
}): Promise<void> {
  const { pid, senders, bounds } = options;
  const clients = createUncontrolledClients(options.address);
  let maxDescriptors = 0;
  let peakMb = 0;
  const sample = () => {
    if (options.getExits().length === 0) {
      const state = readProcess(pid);
      maxDescriptors = Math.max(maxDescriptors, state.descriptors);
      peakMb = state.peakResidentMb;
    }
  };
  const check = () => {
    expect(options.getExits(), `exited at ${peakMb} MB`).to.deep.equal([]);
    sample();
    expect(peakMb, 'peak of resident memory in MB').to.be.below(bounds.residentMb);
    expect(maxDescriptors, 'open descriptors').to.be.below(bounds.descriptors);
  };
  const sampling = setInterval(sample, SAMPLE_MS);
  try {
    const send = (write: Parameters<Sender>[0], index: number) =>
      senders[index % senders.length](write);
    await clients.run(options.count, send, SEND_LIMIT_MS);
    await new Promise((resolve) => {
      setTimeout(resolve, HOLD_MS);
    });
    check();
    await options.getAnswer();
    check();
  } finally {
    clearInterval(sampling);
    clients.close();
  }
}
