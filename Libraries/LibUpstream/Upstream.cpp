#include <LibUpstream/AttemptOutcome.h>
#include <LibUpstream/InstanceRecord.h>
