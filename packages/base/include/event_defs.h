/* The catalogue of log events. docs/events.md describes each event; a unit test checks that the two
 * agree. */
#ifndef GG_EVENT_DEFS_H
#define GG_EVENT_DEFS_H

/*
 * Columns: number, constant, level (DEBUG, INFO, WARNING, ERROR), message. Numbers are never
 * reused. Ranges: 1000 process, 1100 HTTP, 1200 jobs, 1300 membership and channels, 1400 agent and
 * backend server, 1500 configuration and log, 1600 claims, 1700 drain and shutdown.
 */
#define EVENT_LIST(X)                                                                              \
	X(1000, PROCESS_STARTED, INFO, "process started")                                          \
	X(1001, PROCESS_STOPPED, INFO, "process stopped")                                          \
	X(1002, PROCESS_FAILED, ERROR, "process failed")                                           \
	X(1003, PROCESS_FROZEN, WARNING, "process did not run for a while")                        \
	X(1004, SETTINGS_RELOADED, INFO, "settings reloaded")                                      \
	X(1006, LOG_DROPPED, WARNING, "log lines dropped")                                         \
	X(1005, READINESS, INFO, "readiness changed")                                              \
	X(1100, HTTP_LISTENING, INFO, "HTTP listener started")                                     \
	X(1101, HTTP_REFUSED, DEBUG, "HTTP request refused")                                       \
	X(1200, JOB_FAILED, INFO, "job failed")                                                    \
	X(1201, JOB_CANCELLED, DEBUG, "job cancelled")                                             \
	X(1202, REQUEST_REFUSED, INFO, "request refused")                                          \
	X(1203, JOB_PLACED, INFO, "tasks ordered to start")                                        \
	X(1204, JOB_ENDED, INFO, "job ended")                                                      \
	X(1205, RUN_NOT_DONE, INFO, "run ended without success")                                   \
	X(1206, JOB_REPEATED, INFO, "repeated request for a job that has ended")                   \
	X(1207, TASK_GIVEN_UP, WARNING, "task given up because backend servers crashed under it")  \
	X(1208, QUEUE_SEPARATED, WARNING, "queue separated because its tasks crash servers")       \
	X(1300, CHANNEL_OPENED, INFO, "channel opened")                                            \
	X(1301, CHANNEL_SILENT, WARNING, "channel silent, replaced")                               \
	X(1302, CHANNEL_RECONCILED, INFO, "channel reconciled")                                    \
	X(1303, MEMBER_JOINED, INFO, "member joined")                                              \
	X(1304, MEMBER_LOST, WARNING, "member lost")                                               \
	X(1305, MEMBER_LEFT, INFO, "member left")                                                  \
	X(1306, MESSAGE_INVALID, WARNING, "invalid message dropped")                               \
	X(1307, CHANNEL_FAILED, WARNING, "channel cannot be opened")                               \
	X(1308, CHANNEL_LOST, WARNING, "channel lost")                                             \
	X(1309, OWNER_LOST, WARNING, "entry unreachable, its runs are stopped")                    \
	X(1310, ADDRESS_INVALID, WARNING, "address of an entry ignored")                           \
	X(1311, SESSION_REPLACED, WARNING, "agent has dropped this entry")                         \
	X(1312, ENTRY_ISOLATED, WARNING, "nobody heard, all jobs ended")                           \
	X(1313, ENTRY_CUT_OFF, WARNING, "cut off from the platform, all jobs ended")               \
	X(1314, ENTRY_RECONNECTED, INFO, "no longer cut off from the platform")                    \
	X(1400, SERVER_ANNOUNCED, INFO, "backend server announced")                                \
	X(1401, SERVER_LEAVING, INFO, "backend server leaving")                                    \
	X(1402, SERVER_EXPIRED, WARNING, "backend server announcement expired")                    \
	X(1403, SERVER_QUARANTINED, WARNING, "backend server quarantined")                         \
	X(1404, SERVER_RECOVERED, INFO, "backend server left quarantine")                          \
	X(1405, TASK_FAILED, INFO, "task failed")                                                  \
	X(1406, START_REFUSED, DEBUG, "start refused")                                             \
	X(1407, SERVER_RESTARTED, WARNING, "backend server restarted")                             \
	X(1408, SERVER_REACHABLE, INFO, "backend server answers")                                  \
	X(1409, SERVER_UNREACHABLE, WARNING, "backend server does not answer")                     \
	X(1410, SERVER_STATE, INFO, "backend server's readiness changed")                          \
	X(1411, HEARTBEAT_INVALID, WARNING, "heartbeat refused")                                   \
	X(1412, EPOCH_RAISED, WARNING, "epoch of orders raised")                                   \
	X(1413, SERVER_CAPACITY, INFO, "backend server's capacity changed")                        \
	X(1414, SERVER_MESSAGE_IGNORED, WARNING, "message about the backend server ignored")       \
	X(1415, RUN_STOP_OVERDUE, WARNING, "run was not stopped in time")                          \
	X(1416, TASK_HELD, INFO, "run may go on; its task is held")                                \
	X(1417, SERVER_EVACUATED, INFO, "backend server's zone evacuated or taken back")           \
	X(1500, CONFIG_APPLIED, INFO, "configuration applied")                                     \
	X(1501, CONFIG_REJECTED, WARNING, "configuration patch rejected")                          \
	X(1502, LOG_UNAVAILABLE, WARNING, "log service unavailable")                               \
	X(1503, LOG_AVAILABLE, INFO, "log service available")                                      \
	X(1504, LOG_TRUNCATED, WARNING, "log records expired before they were read")               \
	X(1505, SNAPSHOT_APPENDED, INFO, "configuration snapshot appended")                        \
	X(1506, CONFIG_OLDER, WARNING, "older configuration ignored")                              \
	X(1507, RECORD_INVALID, WARNING, "unreadable records ignored")                             \
	X(1508, ZONES_EVACUATED, WARNING, "evacuated zones changed")                               \
	X(1600, CLAIM_ABANDONED, WARNING, "claim abandoned")                                       \
	X(1700, DRAIN_STARTED, INFO, "graceful shutdown started")                                  \
	X(1701, DRAIN_FINISHED, INFO, "graceful shutdown finished")                                \
	X(1702, DRAIN_FORCED, WARNING, "graceful shutdown forced before completion")

enum event {
#define EVENT_ENUM(number, constant, level, message) EVENT_##constant,
	EVENT_LIST(EVENT_ENUM)
#undef EVENT_ENUM
	EVENT_COUNT
};

#endif
