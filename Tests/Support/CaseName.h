#pragma once

#include <gtest/gtest.h>

#include <string>

namespace jaybridge {

/// Names each row of a test table after its `Name_`, so that ctest shows the
/// same names in every run. Only letters and digits are permitted.
struct CaseName {
  template <typename Case>
  std::string operator()(const testing::TestParamInfo<Case> &Info) const {
    return Info.param.Name_;
  }
};

} // namespace jaybridge
