/** How links are made: over plain TCP, or over TLS on which both sides show a certificate. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer, TLSSocket } from 'node:tls';
import type { SecureContextOptions } from 'node:tls';
import { findIdentityMismatch, parseIdentity } from '@poplarpick/decisions';
import type { CertificateIdentity } from '@poplarpick/decisions';
import type { Logger } from '@poplarpick/kernel';
import type { TlsCredentialFiles } from './tls-credential-files.ts';

/** Where to connect to. */
export interface ConnectTarget {
  host: string;
  port: number;
}

/** Makes sockets and servers for links. */
export abstract class Transport {
  /** Connects; `onReady` is called once the socket may be used, never after it has closed. */
  abstract connect(target: ConnectTarget, onReady: (socket: Socket) => void): Socket;

  /** Makes a server. What it hands over may be used once `findIdentityMismatch` has nothing against the hello. */
  abstract createServer(onSocket: (socket: Socket) => void): Server;

  /** Why a process that says it is `claimed` is refused on this socket; undefined where it is not. */
  abstract findIdentityMismatch(socket: Socket, claimed: CertificateIdentity): string | undefined;

  abstract stop(): void;
}

/** Plain TCP: whoever can reach the address is trusted. */
export class PlainTransport extends Transport {
  override connect(target: ConnectTarget, onReady: (socket: Socket) => void): Socket {
    const socket = connect(target);
    socket.once('connect', () => onReady(socket));
    return socket;
  }

  override createServer(onSocket: (socket: Socket) => void): Server {
    return createServer(onSocket);
  }

  override findIdentityMismatch(): undefined {
    return undefined;
  }

  override stop(): void {
    return;
  }
}

/** Options of a `MutualTlsTransport`. */
export interface MutualTlsTransportOptions {
  fleet: string;
  credentialFiles: TlsCredentialFiles;
  log: Logger;
}

const MIN_TLS_VERSION = 'TLSv1.3';

/** TLS on which both sides show a certificate of the authority, made out to this fleet. */
export class MutualTlsTransport extends Transport {
  private readonly options: MutualTlsTransportOptions;

  constructor(options: MutualTlsTransportOptions) {
    super();
    this.options = options;
  }

  override connect(target: ConnectTarget, onReady: (socket: Socket) => void): Socket {
    const socket = connectTls({
      ...target,
      ...this.createContextOptions(),
      // Hosts are dialled by IP number; the certificate's identity is checked instead.
      checkServerIdentity: () => undefined,
    });
    socket.once('secureConnect', () => {
      if (this.verifyPeer(socket)) onReady(socket);
    });
    socket.once('error', (error) => this.logHandshakeFailure(socket, error));
    return socket;
  }

  override createServer(onSocket: (socket: Socket) => void): Server {
    const server = createTlsServer({
      ...this.createContextOptions(),
      requestCert: true,
      // Refused at the hello by `findIdentityMismatch`, where the reason can be told to the other side.
      rejectUnauthorized: false,
    });
    server.on('secureConnection', (socket) => {
      const fault = this.findCertificateFault(socket);
      if (fault !== undefined) this.logRefusal(socket, fault);
      onSocket(socket);
    });
    server.on('tlsClientError', (error, socket) => this.logHandshakeFailure(socket, error));
    this.options.credentialFiles.onChange(() =>
      server.setSecureContext(this.createContextOptions()),
    );
    return server;
  }

  override findIdentityMismatch(socket: Socket, claimed: CertificateIdentity): string | undefined {
    if (!(socket instanceof TLSSocket)) return 'no certificate';
    const certified = readPeerIdentity(socket);
    const fault = this.findCertificateFault(socket);
    if (fault !== undefined || certified === undefined) return fault ?? 'no certificate';
    return findIdentityMismatch(certified, claimed);
  }

  override stop(): void {
    this.options.credentialFiles.stop();
  }

  /** Closes a socket whose certificate is not one of this fleet before anything is sent on it. */
  private verifyPeer(socket: TLSSocket): boolean {
    const reason = this.findCertificateFault(socket);
    if (reason === undefined) return true;
    this.logRefusal(socket, reason);
    socket.on('error', () => undefined);
    // The handshake is still sent to its end, so that the other side can tell who was refused.
    socket.destroySoon();
    return false;
  }

  private findCertificateFault(socket: TLSSocket): string | undefined {
    if (!socket.authorized) return `certificate refused: ${describeAuthorizationError(socket)}`;
    const identity = readPeerIdentity(socket);
    if (identity === undefined) return 'certificate names no process';
    if (identity.fleet === this.options.fleet) return undefined;
    return `certificate is of fleet ${identity.fleet}, not ${this.options.fleet}`;
  }

  /** Failures of the network itself are no refusals. */
  private logHandshakeFailure(socket: Socket, error: Error): void {
    if (!('syscall' in error)) this.logRefusal(socket, error.message);
  }

  private logRefusal(socket: Socket, reason: string): void {
    const remote = `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`;
    this.options.log.warn({ event: 'trust.refused', remote, reason });
  }

  private createContextOptions(): SecureContextOptions {
    const { ca, cert, key } = this.options.credentialFiles.current;
    return { ca, cert, key, minVersion: MIN_TLS_VERSION };
  }
}

/** The code of a failed check, such as `CERT_HAS_EXPIRED`; without a certificate there is none. */
function describeAuthorizationError({ authorizationError }: TLSSocket): string {
  const fault: unknown = authorizationError;
  return fault instanceof Error ? fault.message : String(fault ?? 'none was shown');
}

function readPeerIdentity(socket: TLSSocket): CertificateIdentity | undefined {
  return parseIdentity(socket.getPeerX509Certificate()?.subjectAltName);
}
