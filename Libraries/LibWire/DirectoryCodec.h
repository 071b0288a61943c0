#pragma once

#include <LibCore/Result.h>
#include <LibDirectory/DirectoryMessages.h>
#include <LibDirectory/DistributionMessages.h>

#include <string>
#include <string_view>

namespace jaybridge {

/// Encodings of the messages of InstanceDirectory and ConfigurationDistributor.
std::string encodeDirectoryMessage(const DirectoryMessage &Message);
std::string encodeDistributionMessage(const DistributionMessage &Message);

/// Fail with `Damaged` on malformed bytes.
Result<DirectoryMessage> decodeDirectoryMessage(std::string_view Payload);
Result<DistributionMessage> decodeDistributionMessage(std::string_view Payload);

} // namespace jaybridge
