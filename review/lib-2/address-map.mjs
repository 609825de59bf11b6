// Loaded by a control node of a case: leads its connections to other control nodes through the relays of the case, which
// stand for the network between the machines. The addresses that the nodes tell each other stay as they are.
import net from 'node:net';

const relays = new Map(Object.entries(JSON.parse(process.env.REVIEW_RELAYS ?? '{}')));
const { connect } = net.Socket.prototype;

net.Socket.prototype.connect = function (...given) {
  const options = Array.isArray(given[0]) ? given[0][0] : given[0];
  const relay = relays.get(`${options?.host}:${options?.port}`);
  if (relay !== undefined) {
    const [host, port] = relay.split(':');
    options.host = host;
    options.port = Number(port);
  }
  return connect.apply(this, given);
};
