#ifndef ORIOLEFALL_TESTS_CLI_TEMPORARY_FILE_HPP
#define ORIOLEFALL_TESTS_CLI_TEMPORARY_FILE_HPP

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace oriolefall::tests {

/// Creates a file with a unique name; the destructor removes it.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
    {
        const int descriptor = ::mkstemp(name_.data());
        if (descriptor < 0)
            throw std::runtime_error("mkstemp");
        ::close(descriptor);
        std::ofstream(name_) << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file()
    {
        std::remove(name_.c_str());
    }

    [[nodiscard]] const std::string& name() const
    {
        return name_;
    }

private:
    std::string name_ = "/tmp/oriolefall-test-XXXXXX";
};

} // namespace oriolefall::tests

#endif
