#pragma once

#include <LibCore/Result.h>
#include <LibDirectory/DirectoryMessages.h>
#include <LibDirectory/DistributionMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

std::string encodeDirectory(const DirectoryMessage &Message);
std::string encodeSpread(const DistributionMessage &Message);

/// Fail with `Damaged` on bytes that no codec wrote.
Result<DirectoryMessage> decodeDirectory(std::string_view Payload);
Result<DistributionMessage> decodeSpread(std::string_view Payload);

} // namespace jaybridge
