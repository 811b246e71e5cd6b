"""A stand-in for the network between the fronts and one worker: a TCP relay in
a process of its own, which a cut can be played on.

Commands arrive as lines on standard input:
  cut    bytes and ends of connections are held up in both directions; new
         connections are refused
  heal   what was held up is delivered, new connections are taken again
"""
import argparse
import socket
import sys
import threading


class Relay:
    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.open = threading.Event()
        self.open.set()
        self.listener = None
        self.start_listening()

    def start_listening(self):
        ip, port = self.listen
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(256)
        self.listener = listener
        threading.Thread(target=self.accept, args=(listener,),
                         daemon=True).start()

    def stop_listening(self):
        listener, self.listener = self.listener, None
        # Also ends an accept that waits.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()

    def accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                worker = socket.create_connection(self.target, 1)
            except OSError:
                # As a host whose process has ended.
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  b"\1\0\0\0\0\0\0\0")
                client.close()
                continue
            for source, sink in ((client, worker), (worker, client)):
                threading.Thread(target=self.copy, args=(source, sink),
                                 daemon=True).start()

    def copy(self, source, sink):
        """Passes bytes and the end of one direction on, in order."""
        while True:
            try:
                data = source.recv(65536)
                reset = False
            except OSError:
                data, reset = b"", True
            self.open.wait()
            try:
                if data:
                    sink.sendall(data)
                    continue
                if reset:
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    b"\1\0\0\0\0\0\0\0")
                    sink.close()
                else:
                    sink.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            return


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()

    def endpoint(text):
        ip, port = text.split(":")
        return ip, int(port)

    relay = Relay(endpoint(options.listen), endpoint(options.target))
    for line in sys.stdin:
        if line.strip() == "cut":
            relay.open.clear()
            relay.stop_listening()
        elif line.strip() == "heal":
            relay.start_listening()
            relay.open.set()


if __name__ == "__main__":
    main()
