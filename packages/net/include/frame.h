/* Length-prefixed frames on a TCP connection: splits received bytes into frames and queues frames
 * for sending. */
#ifndef GG_FRAME_H
#define GG_FRAME_H

#include "net.h"

enum {
	FRAME_MAX_BYTES = 8 << 20, /* of the content; not checked by frame_send */
	FRAME_HEADER_BYTES = 4	   /* content length, big-endian */
};

/* Buffers the received bytes of one connection until they make up a whole frame. */
struct frame_reader {
	GByteArray *pending;
};

/* Handles one frame. Returns false if it has freed the reader or its connection, so that
 * frame_reader_append stops without using them again. */
typedef bool (*frame_callback)(void *context, const uint8_t *content, size_t length);

void frame_reader_init(struct frame_reader *reader);
void frame_reader_free(struct frame_reader *reader);

/*
 * Appends LENGTH received bytes and calls CALLBACK for each frame that is now complete. Returns
 * STATUS_INVALID_MESSAGE if the content of a frame is larger than FRAME_MAX_BYTES, otherwise
 * STATUS_OK, also after CALLBACK has returned false.
 */
enum status frame_reader_append(struct frame_reader *reader, const char *bytes, size_t length,
				frame_callback callback, void *context);

/* Queues one frame on CONN; it is sent at the end of the loop iteration. */
void frame_send(struct net_conn *conn, const void *content, size_t length);

#endif
