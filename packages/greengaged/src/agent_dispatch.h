/* The agent's handling of starts, results, credits and configuration updates. */
#ifndef GG_AGENT_DISPATCH_H
#define GG_AGENT_DISPATCH_H

#include "agent_board.h"

/* Handles the body of a message. Its epoch and sender must have been checked. */
void agent_dispatch_handle_message(struct agent_board *board, struct agent_peer *peer,
				   Gg__Envelope *envelope);

/* Takes the finished tasks from the results mailbox and passes their results to the gate, the
 * metrics and the server's health. */
void agent_dispatch_process_results(struct agent_board *board);

/* Grants free slots as credits and marks the entries whose credits changed. The changes are sent by
 * agent_peer_send_pending. */
void agent_dispatch_distribute_credits(struct agent_board *board);

/* Sends PEER the results that were not sent on the current connection yet. */
void agent_dispatch_send_results(struct agent_board *board, struct agent_peer *peer);

/* Requests the configuration from PEER if VERSION, received from it, is newer than the agent's. */
void agent_dispatch_check_config_version(struct agent_board *board, struct agent_peer *peer,
					 uint64_t version);

#endif
