package org.dotterelcourse.tool;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.IniConfigurationReader;
import org.dotterelcourse.configuration.PatchHeader;

/** What all commands about patches have in common: the patch is folded onto its base, or the findings are printed. */
abstract class PatchCommand implements OperatorCommand {
    private static final PatchHeader NO_HEADER = new PatchHeader(0, "", "");

    @Arguments(title = "FILE", description = "The patch")
    @Required
    @MaxOccurrences(occurrences = 1)
    private String file;

    @Option(name = "--base", title = "DOC", description = "The whole document that the patch is applied to")
    @Required
    private String base;

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws WrongCallException {
        PatchHeader header = header();
        Checked<Configuration> whole = Documents.whole(number(header), base);
        if (whole instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, base, invalid.findings());
        }
        Configuration before = ((Checked.Valid<Configuration>) whole).value();
        Checked<Configuration> folded = Documents.fold(before, file);
        if (folded instanceof Checked.Invalid<Configuration> invalid) {
            return Report.findings(console, json, file, invalid.findings());
        }
        print(console, header, before, ((Checked.Valid<Configuration>) folded).value());
        return ExitCode.OK;
    }

    /** A header with findings is read again by the fold, which reports them together with all others. */
    private PatchHeader header() throws WrongCallException {
        Checked<PatchHeader> read = new IniConfigurationReader().header(file, TextFile.read(file));
        return read instanceof Checked.Valid<PatchHeader> valid ? valid.value() : NO_HEADER;
    }

    /**
     * The number that the base is taken to be published under.
     *
     * @param header the patch's header
     * @return the number; the one that the patch names, if the command doesn't say otherwise
     */
    long number(PatchHeader header) {
        return header.base();
    }

    /**
     * Prints what a right patch results in.
     *
     * @param console where to print
     * @param header the patch's header
     * @param before what it is applied to
     * @param after what it results in
     */
    abstract void print(Console console, PatchHeader header, Configuration before, Configuration after);

    String file() {
        return file;
    }

    boolean json() {
        return json;
    }
}
