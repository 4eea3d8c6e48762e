import js from '@eslint/js';
import globals from 'globals';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'node_modules/', 'results/', 'target/'] },
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strict, tseslint.configs.stylistic],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['packages/{cli,decisions,fleet,forwarder,kernel}/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'CallExpression[arguments.length=0] > MemberExpression[property.name=/^(text|json|arrayBuffer|blob|bytes)$/]',
          message: 'An answer may have no end: read it with readBoundedText or readBoundedJson.',
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
  { files: ['**/*.mjs'], languageOptions: { globals: globals.node } },
);
