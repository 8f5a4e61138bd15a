package org.dotterelcourse.configuration;

/** Reads configuration documents and patches, and folds a patch onto the document it names. */
public interface ConfigurationReader {
    /**
     * Reads a whole document.
     *
     * @param number the number it is published under
     * @param name the document's name, for findings
     * @param ini the text
     * @return the configuration, or all findings
     */
    Checked<Configuration> read(long number, String name, String ini);

    /**
     * Folds a patch onto a configuration.
     *
     * @param base the configuration that it must name as its base
     * @param number the number it is published under
     * @param name the patch's name, for findings
     * @param ini the text
     * @return the configuration that results, or all findings of the patch and of the result
     */
    Checked<Configuration> fold(Configuration base, long number, String name, String ini);
}
