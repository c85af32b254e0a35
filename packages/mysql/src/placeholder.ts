/** Counts the placeholders of a statement to prepare. */

/** Matches a placeholder, or a literal, identifier or comment that may hold `?`. */
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

/** Returns the number of parameters of a statement. */
export function countPlaceholders(sql: string): number {
  return (sql.match(TOKEN_PATTERN) ?? []).filter(token => token === '?').length;
}
