/** Transports for links: plain TCP, or mutual TLS with a certificate for each process. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer, TLSSocket } from 'node:tls';
import type { SecureContextOptions } from 'node:tls';
import { findIdentityMismatch, parseIdentity } from '@poplarpick/decisions';
import type { CertificateIdentity } from '@poplarpick/decisions';
import type { Logger } from '@poplarpick/kernel';
import type { TlsCredentialFiles } from './tls-credential-files.ts';

/** IP address and port to connect to. */
export interface ConnectTarget {
  host: string;
  port: number;
}

/** Creates the sockets and servers for links. */
export abstract class Transport {
  /** Connects. `onReady` is called when the socket may be used, and never after it has closed. */
  abstract connect(target: ConnectTarget, onReady: (socket: Socket) => void): Socket;

  /**
   * Creates a server. The sockets that it passes to `onSocket` may be used only after
   * `findIdentityMismatch` has accepted the identity in the hello.
   */
  abstract createServer(onSocket: (socket: Socket) => void): Server;

  /** Reason to refuse the identity that a peer claims on this socket; undefined if it is accepted. */
  abstract findIdentityMismatch(socket: Socket, claimed: CertificateIdentity): string | undefined;

  abstract stop(): void;
}

/** Plain TCP, which trusts every process that can reach the address. */
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

/** TLS on which both sides present a certificate of the certificate authority for this fleet. */
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
      // Hosts are dialled by IP address, so the identity URI of the certificate is checked instead.
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
      // `findIdentityMismatch` refuses at the hello, so that the peer is sent the reason.
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

  /**
   * Whether the server's certificate is one of this fleet. Otherwise closes the socket before any
   * message is sent on it.
   */
  private verifyPeer(socket: TLSSocket): boolean {
    const fault = this.findCertificateFault(socket);
    if (fault === undefined) return true;
    this.logRefusal(socket, fault);
    socket.on('error', () => undefined);
    // Completes the handshake first, so that the server receives this side's certificate and can log it.
    socket.destroySoon();
    return false;
  }

  /** Reason for which the peer's certificate is not one of this fleet; undefined if it is. */
  private findCertificateFault(socket: TLSSocket): string | undefined {
    if (!socket.authorized) return `certificate refused: ${describeAuthorizationError(socket)}`;
    const identity = readPeerIdentity(socket);
    if (identity === undefined) return 'certificate contains no process identity';
    if (identity.fleet === this.options.fleet) return undefined;
    return `certificate is of fleet ${identity.fleet}, not ${this.options.fleet}`;
  }

  /** Logs a failed handshake as a refusal, but not a failure of the network itself. */
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

/** Error code of the failed verification, such as `CERT_HAS_EXPIRED`; there is none without a certificate. */
function describeAuthorizationError({ authorizationError }: TLSSocket): string {
  const fault: unknown = authorizationError;
  return fault instanceof Error ? fault.message : String(fault ?? 'none was presented');
}

function readPeerIdentity(socket: TLSSocket): CertificateIdentity | undefined {
  return parseIdentity(socket.getPeerX509Certificate()?.subjectAltName);
}
