// A link to a server that can be cut without a sign: nothing passes until it has healed. Or its open
// channels fall silent for good, while new ones work.
import { connect, createServer } from "node:net";

/** Starts a link on a free port of `host` that leads to `target`. */
export async function createLink(host, target) {
  const [targetHost, targetPort] = target.split(":");
  const pairs = new Set();
  let isCut = false;
  const server = createServer({ pauseOnConnect: true }, (near) => {
    const pair = { near, far: undefined, isSilent: false };
    pairs.add(pair);
    const close = () => {
      if (!pair.isSilent) {
        near.destroy();
        pair.far?.destroy();
        pairs.delete(pair);
      }
    };
    pair.open = () => {
      pair.far = connect(Number(targetPort), targetHost);
      pair.far.once("error", close).once("close", close);
      near.pipe(pair.far).pipe(near);
    };
    near.once("error", close).once("close", close);
    if (!isCut) {
      pair.open();
    }
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    cut: () => {
      isCut = true;
      for (const { near, far } of pairs) {
        near.unpipe();
        near.pause();
        far?.unpipe();
        far?.pause();
      }
    },
    /** Nothing passes on the channels that are open now any more, not even their close. */
    silence: () => {
      for (const pair of pairs) {
        pair.isSilent = true;
        pair.near.unpipe().resume();
        pair.far?.unpipe().resume();
      }
    },
    /** What has waited passes, and channels opened meanwhile reach the server. */
    heal: () => {
      isCut = false;
      for (const pair of pairs) {
        if (pair.far === undefined) {
          pair.open();
        } else {
          pair.near.pipe(pair.far).pipe(pair.near);
        }
      }
    },
    close: () => {
      server.close();
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far?.destroy();
      });
    },
  };
}
