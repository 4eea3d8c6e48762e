/** The open requests of a router: those that are queued or granted and have not ended. */
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference } from '../messages.ts';
import type { RoutedRequest } from './routed-request.ts';

/** Numbers of requests since the process started. */
export interface RequestCounts {
  submitted: number;
  finished: number;
  failed: number;
}

/** Index of open requests by id. */
export class OpenRequests {
  private readonly byId = new Map<string, RoutedRequest>();

  get size(): number {
    return this.byId.size;
  }

  add(request: RoutedRequest): void {
    this.byId.set(request.id, request);
  }

  delete(request: RoutedRequest): void {
    this.byId.delete(request.id);
  }

  get(id: string): RoutedRequest | undefined {
    return this.byId.get(id);
  }

  values(): Iterable<RoutedRequest> {
    return this.byId.values();
  }

  /** Requests that are granted to the sidecar on `host`. */
  listBySidecar(host: string): RoutedRequest[] {
    return [...this.byId.values()].filter((request) => request.sidecar?.host === host);
  }

  /** Finds the request whose current attempt is `reference` and is granted to `peer`. */
  findAttempt(peer: Peer, reference: AttemptReference): RoutedRequest | undefined {
    const request = this.byId.get(reference.request);
    return request?.isCurrentAttempt(peer, reference.attempt) === true ? request : undefined;
  }
}
