/** Rules of the fault proxy, which select the effects for each connection. */

/** Effect of a rule on the connections that it matches. */
export type FaultEffect =
  | {readonly type: 'delay'; readonly ms: number}
  | {readonly type: FaultEffectName};

/** Effects without parameters. */
type FaultEffectName =
  'cut' | 'drop' | 'drop_up' | 'drop_down' | 'freeze' | 'forget';

/** A rule: which connections it matches, and its effect. */
export interface FaultRule {
  /** Prefix of the source address, or `*`. */
  readonly from: string;
  /** Name of the link, or `*`. */
  readonly link: string;
  readonly effect: FaultEffect;
}

/** Combined effects of the current rules on one connection. */
export interface ConnectionFaults {
  /** Open and new connections are reset. */
  readonly isCut: boolean;
  /** A new connection is accepted but not forwarded to the target. */
  readonly isDropped: boolean;
  /** Data from the client is discarded. */
  readonly isSilentUp: boolean;
  /** Data to the client is discarded. */
  readonly isSilentDown: boolean;
  /** Data is queued until the rule is removed. */
  readonly isFrozen: boolean;
  /**
   * Connections that are open when the rule is set discard all data, even after
   * its removal.
   */
  readonly isForgotten: boolean;
  /** Delay of each direction in milliseconds. */
  readonly delayMs: number;
}

const EFFECT_TYPES: ReadonlySet<string> = new Set([
  'delay',
  'cut',
  'drop',
  'drop_up',
  'drop_down',
  'freeze',
  'forget',
]);

/**
 * Validates rules received on the control port. Throws on an unknown effect.
 */
export function checkRules(rules: readonly FaultRule[]): readonly FaultRule[] {
  rules.forEach(rule => {
    if (!EFFECT_TYPES.has(rule.effect.type)) {
      throw new Error(
        `unknown effect '${rule.effect.type}': use one of ${[...EFFECT_TYPES].join(', ')}`,
      );
    }
  });
  return rules;
}

/** Returns whether a rule applies to connections from `source` over `link`. */
function matchesConnection(
  rule: FaultRule,
  source: string,
  link: string,
): boolean {
  const matchesSource = rule.from === '*' || source.startsWith(rule.from);
  return matchesSource && (rule.link === '*' || rule.link === link);
}

/** Combines the effects of all matching rules; delays add up. */
export function evaluateRules(
  rules: readonly FaultRule[],
  source: string,
  link: string,
): ConnectionFaults {
  const effects = rules
    .filter(rule => matchesConnection(rule, source, link))
    .map(rule => rule.effect);
  const types = new Set(effects.map(effect => effect.type));
  const delayMs = effects.reduce(
    (sum, effect) => sum + (effect.type === 'delay' ? effect.ms : 0),
    0,
  );
  return {
    isCut: types.has('cut'),
    isDropped: types.has('drop'),
    isSilentUp: types.has('drop') || types.has('drop_up'),
    isSilentDown: types.has('drop') || types.has('drop_down'),
    isFrozen: types.has('freeze'),
    isForgotten: types.has('forget'),
    delayMs,
  };
}
