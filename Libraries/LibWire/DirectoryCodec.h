#pragma once

#include <LibCore/Result.h>
#include <LibDirectory/DirectoryMessages.h>
#include <LibDirectory/SpreadMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeDirectoryMessage(const DirectoryMessage &Message);
std::string encodeSpreadMessage(const SpreadMessage &Message);

/// Fail with `Damaged` on bytes that no codec wrote.
Result<DirectoryMessage> decodeDirectoryMessage(std::string_view Payload);
Result<SpreadMessage> decodeSpreadMessage(std::string_view Payload);

} // namespace jaybridge
