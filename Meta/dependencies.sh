# Debian packages required by the build, the tests and the benchmarks.
JAYBRIDGE_PACKAGES=(
  g++ cmake ninja-build ccache clang-format clang-tidy curl
  libasio-dev libhttp-parser-dev libcapnp-dev capnproto
  libcurl4-openssl-dev libgflags-dev libspdlog-dev libboost-dev libxxhash-dev zlib1g-dev
  nlohmann-json3-dev librapidcheck-dev libgtest-dev libgmock-dev
  libbenchmark-dev spin gnuplot-nox
)

install_dependencies() {
  local missing=()
  for package in "${JAYBRIDGE_PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done
  if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    apt-get install -y -q --no-install-recommends "${missing[@]}"
  fi
}
