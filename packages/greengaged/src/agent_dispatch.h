/* The agent's handling of starts, results, credits and the configuration. */
#ifndef GG_AGENT_DISPATCH_H
#define GG_AGENT_DISPATCH_H

#include "agent_board.h"

/* Handles the body of a message that passed the epoch check. */
void agent_dispatch_handle_message(struct agent_board *board, struct agent_peer *peer,
				   Gg__Envelope *envelope);

/* Takes the tasks that the caller handed back. */
void agent_dispatch_process_results(struct agent_board *board);

/* Distributes free slots as credits and marks the entries to be told. */
void agent_dispatch_distribute_credits(struct agent_board *board);

/* Sends the results that PEER has not been sent on this connection. */
void agent_dispatch_send_results(struct agent_board *board, struct agent_peer *peer);

/* Asks PEER for the configuration when VERSION, seen in its message, is newer than the agent's. */
void agent_dispatch_check_config_version(struct agent_board *board, struct agent_peer *peer,
					 uint64_t version);

#endif
