/* ZeroMQ channels: framing of envelopes, connecting and accepting sockets, counters of messages and
 * bytes. */
#ifndef GG_CHANNEL_H
#define GG_CHANNEL_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "message.pb-c.h"
#include "status.h"

enum {
	CHANNEL_ROUTE_BYTES = 32,
	CHANNEL_MAX_MESSAGE_BYTES = 64 << 20
};

/* The address of a connection at an accepting socket. */
struct channel_route {
	uint8_t bytes[CHANNEL_ROUTE_BYTES];
	uint8_t length;
};

/* A socket that accepts connections (ROUTER) or makes one (DEALER). Used by one thread only. */
struct channel {
	void *socket;
	bool accepting;
};

/* Binds an accepting socket to ADDRESS ("tcp://127.0.0.1:7000"). STATUS_NETWORK. */
enum status channel_accept(void *zmq_context, const char *address, struct channel *channel,
			   struct error *err);

/* Makes a connecting socket to ADDRESS; the connection itself comes up later. STATUS_NETWORK. */
enum status channel_connect(void *zmq_context, const char *address, struct channel *channel,
			    struct error *err);

/* Closes the socket without waiting for messages still queued. */
void channel_close(struct channel *channel);

/*
 * Sends ENVELOPE, on an accepting socket to ROUTE. Never blocks: STATUS_NETWORK when the connection
 * is gone or its queue is full, in which case nothing was sent.
 */
enum status channel_send(struct channel *channel, const struct channel_route *route,
			 const Gg__Envelope *envelope, struct error *err);

/*
 * Receives one message without blocking. STATUS_OK and *ENVELOPE, to be freed with
 * channel_free_envelope; STATUS_NOT_FOUND when there is none; STATUS_INVALID_MESSAGE for bytes that
 * are no envelope. ROUTE, which may be NULL for a connecting socket, receives the sender's address.
 */
enum status channel_receive(struct channel *channel, struct channel_route *route,
			    Gg__Envelope **envelope, struct error *err);

void channel_free_envelope(Gg__Envelope *envelope);

/* Decodes LENGTH bytes from outside. Checks that required fields and identifiers have their sizes.
 * STATUS_INVALID_MESSAGE. */
enum status channel_decode(const uint8_t *data, size_t length, Gg__Envelope **envelope,
			   struct error *err);

/* Copies a 16-byte field into ID; returns false when its length differs. */
bool channel_get_ident(const ProtobufCBinaryData *field, struct ident *id);

/* Points a bytes field at ID, which must outlive the message. */
ProtobufCBinaryData channel_put_ident(const struct ident *id);

#endif
