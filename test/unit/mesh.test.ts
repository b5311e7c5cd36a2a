import net from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import createFrameReader from '../../src/mesh/createFrameReader';
import createMesh from '../../src/mesh/createMesh';
import encodeFrame from '../../src/mesh/encodeFrame';
import type Message from '../../src/mesh/Message';

const HOST = '127.0.45.1';
const message: Message = { kind: 'rowsWanted', since: 7 };

function createEnd(port: number, clusterKey: string) {
  const seen: { from: string; message: Message }[] = [];
  const ends: string[] = [];
  const mesh = createMesh(
    {
      onMessage: (from, received) => seen.push({ from, message: received }),
      onLinkEnd: (_, reason) => ends.push(reason),
      onSent: () => {},
    },
    { address: `${HOST}:${port}`, clusterKey, listenHost: HOST, listenPort: port },
  );
  return { mesh, seen, ends };
}

async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('mesh', () => {
  it('passes messages between ends that hold the same key', async () => {
    const [left, right] = [createEnd(7101, 'key'), createEnd(7102, 'key')];
    await Promise.all([left.mesh.listen(), right.mesh.listen()]);
    left.mesh.setPeers([`${HOST}:7102`]);
    await waitFor(() => left.mesh.send(`${HOST}:7102`, message));
    await waitFor(() => right.seen.length > 0);
    expect(right.seen[0]).to.deep.equal({ from: `${HOST}:7101`, message });
    left.mesh.close();
    right.mesh.close();
  });

  it('refuses an end that holds another key, both ways', async () => {
    const [left, right] = [createEnd(7103, 'key'), createEnd(7104, 'other')];
    await Promise.all([left.mesh.listen(), right.mesh.listen()]);
    left.mesh.setPeers([`${HOST}:7104`]);
    right.mesh.setPeers([`${HOST}:7103`]);
    await waitFor(() => left.ends.includes('badProof') && right.ends.includes('badProof'));
    expect(left.mesh.send(`${HOST}:7104`, message)).to.equal(false);
    expect(right.seen).to.deep.equal([]);
    left.mesh.close();
    right.mesh.close();
  });

  it('ends a link on bad or hostile frames and goes on', async () => {
    const end = createEnd(7105, 'key');
    await end.mesh.listen();
    const hello = { protocol: 1, from: 'x', nonce: 'n' };
    const hostile: [string, Buffer][] = [
      ['badFrame', Buffer.from([0xff, 0xff, 0xff, 0xff, 1])],
      ['badHello', encodeFrame('hello')],
      ['badHello', encodeFrame({ ...hello, nonce: 'n'.repeat(100) })],
      ['wrongProtocol', encodeFrame({ ...hello, protocol: 99 })],
      ['badProof', Buffer.concat([encodeFrame(hello), encodeFrame({ proof: 'x' })])],
      ['badProof', Buffer.concat([encodeFrame(hello), encodeFrame(message)])],
    ];

    for (const [reason, bytes] of hostile) {
      const before = end.ends.length;
      const socket = net.connect({ host: HOST, port: 7105 }, () => socket.write(bytes));
      socket.on('error', () => {});
      await waitFor(() => end.ends.length > before);
      expect(end.ends.at(-1)).to.equal(reason);
      socket.destroy();
    }
    expect(end.seen).to.deep.equal([]);
    end.mesh.close();
  });

  it('reads frames in whatever pieces they come', () => {
    const property = fc.property(
      fc.array(fc.jsonValue(), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (values, sizes) => {
        const bytes = Buffer.concat(values.map(encodeFrame));
        const frames: Buffer[] = [];
        const take = createFrameReader(1_000_000, (payload) => frames.push(Buffer.from(payload)));
        for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
          const size = sizes[turn % sizes.length];
          expect(take(bytes.subarray(at, at + size))).to.equal(true);
          at += size;
        }
        expect(frames.length).to.equal(values.length);
        frames.forEach((frame, index) =>
          expect(frame.equals(encodeFrame(values[index]).subarray(4))).to.equal(true),
        );
      },
    );
    fc.assert(property, { seed: 7, numRuns: 100 });
  });
});
