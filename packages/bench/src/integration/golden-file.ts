/**
 * Golden files: the expected text of whole HTTP exchanges. With `UPDATE_GOLDEN=1` a run rewrites them, so
 * that the difference can be reviewed.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { request } from 'undici';

/** A request whose exchange is compared with a golden file. */
export interface GoldenRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  url: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Response headers that vary with the machine or the time. */
const VARYING_HEADERS = new Set(['date', 'connection', 'keep-alive', 'transfer-encoding']);

const UUID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;

/** Makes a request and returns the exchange as text, without the values that vary between runs. */
export async function recordExchange(goldenRequest: GoldenRequest): Promise<string> {
  const response = await request(goldenRequest.url, {
    method: goldenRequest.method,
    headers: goldenRequest.headers ?? {},
    ...(goldenRequest.body === undefined ? {} : { body: goldenRequest.body }),
  });
  const body = await response.body.text();
  const { pathname } = new URL(goldenRequest.url);
  const lines = [
    `> ${goldenRequest.method} ${pathname}`,
    ...Object.entries(goldenRequest.headers ?? {}).map(
      ([name, value]) => `> ${name}: ${truncate(value)}`,
    ),
    ...(goldenRequest.body === undefined ? [] : ['>', `> ${truncate(goldenRequest.body)}`]),
    `< ${response.statusCode}`,
    ...describeHeaders(response.headers),
    '<',
    ...body
      .trimEnd()
      .split('\n')
      .map((line) => `< ${line}`.trimEnd()),
  ];
  return `${normalizeText(lines.join('\n'))}\n`;
}

/** Compares a text with the golden file of that name. */
export function expectGolden(name: string, text: string): void {
  const file = fileURLToPath(new URL(`golden/${name}.golden`, import.meta.url));
  if (process.env['UPDATE_GOLDEN'] === '1') writeFileSync(file, text);
  expect(existsSync(file), `golden file ${name} exists`).to.equal(true);
  expect(text).to.equal(readFileSync(file, 'utf8'));
}

function describeHeaders(headers: Record<string, string | string[] | undefined>): string[] {
  return Object.entries(headers)
    .filter(([name]) => !VARYING_HEADERS.has(name))
    .map(([name, value]) => `< ${name}: ${String(value)}`)
    .sort();
}

/** Replaces values that vary between runs with placeholders. */
export function normalizeText(text: string): string {
  return text.replace(UUID, '<uuid>').replace(/"created":\d+/g, '"created":0');
}

function truncate(text: string): string {
  const limit = 300;
  return text.length <= limit ? text : `${text.slice(0, limit)}… (${text.length} characters)`;
}
