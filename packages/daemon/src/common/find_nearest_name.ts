const MAX_DISTANCE = 3;

/** Finds the candidate with the smallest edit distance to `name`, if any is close enough. */
export function findNearestName(name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map((candidate) => ({ candidate, distance: computeDistance(name, candidate) }))
    .filter((entry) => entry.distance <= MAX_DISTANCE)
    .sort((left, right) => left.distance - right.distance);
  return ranked[0]?.candidate;
}

function computeDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(Math.min(
        (previous[column] ?? 0) + 1,
        (current[column - 1] ?? 0) + 1,
        (previous[column - 1] ?? 0) + substitution,
      ));
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}
