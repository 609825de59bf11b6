import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'bin/', 'eslint.config.js', 'vitest.config.ts'] },
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'bench/**/*.ts'],
    rules: {
      'prefer-const': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      'no-restricted-syntax': ['error',
        { selector: 'ArrowFunctionExpression', message: 'function declarations only' },
        { selector: ':not(MethodDefinition) > FunctionExpression', message: 'function declarations only' },
        { selector: 'PropertyDefinition[accessibility="private"], MethodDefinition[accessibility="private"], TSParameterProperty', message: 'private fields are written with #' },
        { selector: 'TSAsExpression[typeAnnotation.typeName.name!="const"]', message: 'no casts' },
      ],
      // The wall clock jumps; only the monotonic one has a way in.
      'no-restricted-properties': ['error', { object: 'Date', property: 'now' }],
      'no-restricted-globals': ['error', 'Date'],
      'no-restricted-imports': ['error', { paths: ['child_process', 'worker_threads', 'cluster'].flatMap(both) }],
    },
  },
  { files: ['src/myth/**/*.ts', 'platform/stand/**/*.ts'], rules: { 'no-restricted-imports': 'off', 'no-restricted-properties': 'off', 'no-restricted-globals': 'off' } },
);

function both(name) {
  return [name, `node:${name}`];
}
