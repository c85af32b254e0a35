/** Counts the placeholders of a statement that is to be prepared. */

/** Consumes one token that may contain a `?` that is no placeholder. */
const TOKEN_PATTERN = new RegExp(
  [
    "'(?:[^'\\\\]|\\\\[^]|'')*(?:'|$)",
    '"(?:[^"\\\\]|\\\\[^]|"")*(?:"|$)',
    '`(?:[^`]|``)*(?:`|$)',
    '/\\*[^]*?(?:\\*/|$)',
    '--(?=[\\s\\u0000-\\u001f]|$)[^\\n]*',
    '#[^\\n]*',
    '\\?',
  ].join('|'),
  'g',
);

/** Returns how many parameters a statement takes. */
export function countPlaceholders(sql: string): number {
  return (sql.match(TOKEN_PATTERN) ?? []).filter(token => token === '?').length;
}
