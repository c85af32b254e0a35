/** Rendezvous hashing: all hosts compute the same order for a key. */

import murmurhash from 'murmurhash';

/** A candidate and its weight for a key. */
interface Weighted {
  readonly candidate: string;
  readonly weight: number;
}

function weigh(key: string, candidate: string): Weighted {
  return {candidate, weight: murmurhash.v3(`${key}\u0000${candidate}`)};
}

/** Orders candidates by descending weight, then by name. */
function compareWeights(a: Weighted, b: Weighted): number {
  return b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1);
}

/** Returns the candidates in descending order of weight for a key. */
export function orderByRendezvous(
  key: string,
  candidates: readonly string[],
): readonly string[] {
  return candidates
    .map(candidate => weigh(key, candidate))
    .sort(compareWeights)
    .map(({candidate}) => candidate);
}

/** Returns the candidate with the highest weight for a key, or null for none. */
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
