#include <LibRouting/GatewayMessages.h>
