// The platform's `garble`: workers spoil some of their answers, for some seconds, time and again.

const SHARE = 0.02;
const LENGTH_MS = 5_000;
const PAUSE_MS = 1_000;

/** Creates the choice of the answers whose status line becomes one of `lines`, in turn. */
export function createSpoiler(...lines) {
  const spoilt = new Set();
  let startMs;
  let count = 0;
  return {
    /** Ids of the attempts whose answer was spoilt. */
    spoilt,
    spoil: (run) => {
      startMs ??= performance.now();
      if ((performance.now() - startMs) % (LENGTH_MS + PAUSE_MS) >= LENGTH_MS) {
        return undefined;
      }
      count++;
      if (count % (1 / SHARE) !== 0) {
        return undefined;
      }
      spoilt.add(run.attempt);
      run.isSpoilt = true;
      return lines[spoilt.size % lines.length];
    },
  };
}
