/** How an engine of the users' platform answers the question for its cached prompts, `GET /v1/kv-list`. */
import type { ServerResponse } from 'node:http';

/** What becomes of one question. */
export enum CacheListAnswer {
  /** The whole list. */
  Whole = 'whole',
  /** No answer; the connection stays open. */
  Silent = 'silent',
  /** The connection is reset. */
  Reset = 'reset',
  /** The connection is closed in an orderly way. */
  Closed = 'closed',
  /** Status 503. */
  Refused = 'refused',
  /** Status 200 with a text that is no list. */
  Unreadable = 'unreadable',
}

const STATUS_UNAVAILABLE = 503;

/** Answers one question with a list, or in place of it. */
export function answerCacheList(
  response: ServerResponse,
  answer: CacheListAnswer,
  list: Record<string, unknown>,
): void {
  switch (answer) {
    case CacheListAnswer.Silent:
      return;
    case CacheListAnswer.Reset:
      response.socket?.resetAndDestroy();
      return;
    case CacheListAnswer.Closed:
      response.socket?.end();
      return;
    case CacheListAnswer.Refused:
      response.writeHead(STATUS_UNAVAILABLE).end();
      return;
    case CacheListAnswer.Unreadable:
      response.end('no list');
      return;
    case CacheListAnswer.Whole:
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(list));
  }
}
