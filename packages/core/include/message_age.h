/*
 * Age of the messages of another process. A message that is held up in the network says nothing of
 * its sender since it was sent. Each message names when that was, on the sender's clock, which this
 * process cannot compare with its own: it keeps the shortest difference between sending and arrival
 * seen lately, and what exceeds that is the age. The clocks may drift apart.
 *
 * Load pattern: a link that is cut, or whose peer has ended, delivers its last messages hundreds of
 * milliseconds later.
 */
#ifndef GG_MESSAGE_AGE_H
#define GG_MESSAGE_AGE_H

#include <stdbool.h>
#include <stdint.h>

/* Times are boot times in microseconds: they go on while a host is suspended. */
struct message_times {
	int64_t sent_us; /* on the sender's clock; 0 if unknown */
	int64_t received_us;
	/* The message was not sent before this time of the receiver, for example because its
	 * connection did not exist; 0 if nothing is known. */
	int64_t earliest_us;
};

/* What is known of one process of the peer, over all its connections. Initialized with zeros. */
struct message_age {
	bool known;
	int64_t shortest_us; /* time of arrival minus time of sending */
	int64_t seen_us;     /* when a message with that difference arrived */
};

/* Takes note of a message and returns its age, which is 0 or more. Messages are to be passed in the
 * order of their arrival. */
int64_t message_age_update(struct message_age *age, const struct message_times *times);

/* Returns the time that a message names in milliseconds, or 0 if that is no time of a clock. */
int64_t message_sent_us(uint64_t sent_ms);

#endif
