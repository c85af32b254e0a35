/** Rendezvous hashing: every host computes the same order for a key. */

import murmurhash from 'murmurhash';

/** A candidate and the weight that a key gives it. */
interface Weighted {
  readonly candidate: string;
  readonly weight: number;
}

function weigh(key: string, candidate: string): Weighted {
  return {candidate, weight: murmurhash.v3(`${key}\u0000${candidate}`)};
}

/** Compares two candidates, the better first. */
function compareWeights(a: Weighted, b: Weighted): number {
  return b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1);
}

/** Orders candidates for a key, the best first. */
export function orderByRendezvous(
  key: string,
  candidates: readonly string[],
): readonly string[] {
  return candidates
    .map(candidate => weigh(key, candidate))
    .sort(compareWeights)
    .map(({candidate}) => candidate);
}

/** Returns the best candidate for a key, or null when there is none. */
export function chooseByRendezvous(
  key: string,
  candidates: readonly string[],
): string | null {
  let best: Weighted | null = null;
  for (const candidate of candidates) {
    const weighted = weigh(key, candidate);
    if (best === null || compareWeights(weighted, best) < 0) {
      best = weighted;
    }
  }
  return best?.candidate ?? null;
}
